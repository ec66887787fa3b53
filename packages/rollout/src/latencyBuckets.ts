/** Number of latency buckets; they cover 1 ms to more than half an hour. */
export const BUCKET_COUNT = 128
const BUCKETS_PER_OCTAVE = 6

/**
 * The bucket of a duration in milliseconds. Bucket widths grow by a factor of the sixth root of two.
 *
 * @example
 * bucketOf(1) // 0
 * bucketOf(1000) // 59
 */
export const bucketOf = (time: number): number => {
  const bucket = Math.floor(BUCKETS_PER_OCTAVE * Math.log2(Math.max(1, time)))
  return Math.min(BUCKET_COUNT - 1, bucket)
}

/** Lower bound of a bucket, in milliseconds. */
export const bucketStart = (bucket: number): number => 2 ** (bucket / BUCKETS_PER_OCTAVE)

/** Sum of the counts from bucket `first` on. */
export const sumCounts = (counts: Float64Array, first = 0): number => {
  let sum = 0
  for (let bucket = first; bucket < BUCKET_COUNT; bucket++) sum += counts[bucket]!
  return sum
}

/** The first bucket entirely above a quantile of the counts; undefined if there are fewer than `minTotal`. */
export const firstSlowBucket = (counts: Float64Array, quantile: number, minTotal: number): number | undefined => {
  const total = sumCounts(counts)
  if (total < minTotal) return undefined
  let seen = 0
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
    seen += counts[bucket]!
    if (seen >= quantile * total) return bucket + 1
  }
  return BUCKET_COUNT
}

/** Adds `factor * counts` to `into`, bucket by bucket. */
export const addCounts = (into: Float64Array, counts: Float64Array, factor = 1): void => {
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) into[bucket]! += factor * counts[bucket]!
}
