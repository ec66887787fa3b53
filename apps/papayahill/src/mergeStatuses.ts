import type { AttainmentLine, InstanceStatus } from '@papayahill/edge'

const missesOf = (line: AttainmentLine): number => line.requests * (1 - line.attained)

/** Merges the lines of two instances for one class and workspace; takes the worse percentiles. */
const joinLines = (left: AttainmentLine, right: AttainmentLine): AttainmentLine => {
  const requests = left.requests + right.requests
  const attained = requests === 0 ? 1 : 1 - (missesOf(left) + missesOf(right)) / requests
  const isMet = left.target === undefined || attained >= left.target
  const worse = missesOf(left) >= missesOf(right) ? left : right
  return {
    ...worse,
    requests,
    refused: left.refused + right.refused,
    failed: left.failed + right.failed,
    attained,
    isMet,
    p50: Math.max(left.p50, right.p50) as AttainmentLine['p50'],
    p95: Math.max(left.p95, right.p95) as AttainmentLine['p95'],
    p99: Math.max(left.p99, right.p99) as AttainmentLine['p99'],
    blame: isMet ? undefined : worse.blame
  }
}

const joinAttainment = (statuses: readonly InstanceStatus[]): readonly AttainmentLine[] => {
  const lines = new Map<string, AttainmentLine>()
  for (const line of statuses.flatMap((status) => status.attainment)) {
    const key = `${line.class}/${line.workspace ?? ''}`
    const seen = lines.get(key)
    lines.set(key, seen === undefined ? line : joinLines(seen, line))
  }
  return [...lines.values()]
}

/**
 * Merges the statuses of several instances: attainment over all their requests, everything else from the first.
 *
 * @example
 * mergeStatuses(await client.requestAll('/v1/status'))
 */
export const mergeStatuses = (statuses: readonly [InstanceStatus, ...InstanceStatus[]]): InstanceStatus => ({
  ...statuses[0],
  instance: statuses.map((status) => status.instance).join(', ') as InstanceStatus['instance'],
  isReady: statuses.every((status) => status.isReady),
  running: statuses.reduce((sum, status) => sum + status.running, 0),
  attainment: [...joinAttainment(statuses)]
})
