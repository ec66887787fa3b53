import type { InstanceStatus } from '@papayahill/edge'
import { formatTable } from './table.js'

const PERCENT = 100

const toPercent = (share: number): number => Math.round(share * PERCENT * 10) / 10

const attainmentLines = (status: InstanceStatus): readonly string[] => {
  if (status.attainment.length === 0) return ['no requests in the window']
  return formatTable(
    ['class', 'workspace', 'requests', 'refused', 'failed', 'met %', 'target %', 'p95 ms', 'missing because of'],
    status.attainment.map((line) => [
      line.class, line.workspace ?? '(all)', line.requests, line.refused, line.failed, toPercent(line.attained),
      line.target === undefined ? '-' : toPercent(line.target), Math.round(line.p95), line.blame ?? (line.isMet ? '' : 'refusals')
    ]))
}

const endpointLines = (status: InstanceStatus): readonly string[] => {
  const groups = new Map<string, Map<string, number>>()
  for (const endpoint of status.endpoints) {
    const group = groups.get(endpoint.service) ?? new Map<string, number>()
    group.set(endpoint.state, (group.get(endpoint.state) ?? 0) + 1)
    groups.set(endpoint.service, group)
  }
  return [...groups].map(([service, states]) =>
    `${service}: ${[...states].map(([state, count]) => `${count} ${state}`).join(', ')}`)
}

/** Formats a status as text; attainment, with the stage responsible for misses, comes before endpoints and moves. */
export const showStatus = (status: InstanceStatus): readonly string[] => [
  `instances ${status.instance}: ${status.isReady ? 'ready' : 'not ready'}, ${status.running} running`,
  `configuration version ${status.config.version} by ${status.config.author ?? 'nobody'}; in force: ` +
    status.inForce.map((each) => `${each.instance} ${each.version}`).join(', '),
  `domains out: ${status.domainsOut.join(', ') || 'none'}` +
    (status.config.unrecordedOuts.length === 0 ? '' : `; not yet recorded: ${status.config.unrecordedOuts.join(', ')}`),
  '',
  ...attainmentLines(status),
  '',
  ...endpointLines(status),
  ...status.moves.map((move) => `move ${move.service} ${move.from} to ${move.to}: ${move.state}, ${toPercent(move.share)} %; ${move.because}`)
]
