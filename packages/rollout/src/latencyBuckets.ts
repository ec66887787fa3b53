/** Number of latency buckets; together they reach from 1 ms past half an hour. */
export const BUCKET_COUNT = 128
const BUCKETS_PER_OCTAVE = 6

/**
 * The bucket of a time in milliseconds; each is wider than the one before by the sixth root of two.
 *
 * @example
 * bucketOf(1) // 0
 * bucketOf(1000) // 59
 */
export const bucketOf = (time: number): number => {
  const bucket = Math.floor(BUCKETS_PER_OCTAVE * Math.log2(Math.max(1, time)))
  return Math.min(BUCKET_COUNT - 1, bucket)
}

/** Lowest time of a bucket, in milliseconds. */
export const bucketStart = (bucket: number): number => 2 ** (bucket / BUCKETS_PER_OCTAVE)

/** Sum of the counts, from the given bucket on. */
export const sumCounts = (counts: Float64Array, first = 0): number => {
  let sum = 0
  for (let bucket = first; bucket < BUCKET_COUNT; bucket++) sum += counts[bucket]!
  return sum
}

/** The first bucket that lies wholly above a quantile of the counts; undefined where they hold too few. */
export const slowBucket = (counts: Float64Array, quantile: number, minTotal: number): number | undefined => {
  const total = sumCounts(counts)
  if (total < minTotal) return undefined
  let seen = 0
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
    seen += counts[bucket]!
    if (seen >= quantile * total) return bucket + 1
  }
  return BUCKET_COUNT
}

/** Adds counts to others, bucket by bucket. */
export const addCounts = (into: Float64Array, counts: Float64Array, factor = 1): void => {
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) into[bucket]! += factor * counts[bucket]!
}
