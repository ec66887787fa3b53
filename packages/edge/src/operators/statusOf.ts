import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { EntryInstance } from '@papayahill/instance'
import type { Attainment } from '@papayahill/metrics'
import type { OperatorConfig } from '@papayahill/settings'

/** A class, of one workspace or of all, as operators read it. */
export interface AttainmentLine {
  readonly class: string
  readonly workspace: string | undefined
  readonly requests: number
  readonly refused: number
  readonly failed: number
  readonly attained: number
  readonly target: number | undefined
  readonly isMet: boolean
  readonly p50: Millis
  readonly p95: Millis
  readonly p99: Millis
  /** The stage that is why, where the target is missed. */
  readonly blame: string | undefined
}

const lineOf = (config: OperatorConfig, seen: Attainment): AttainmentLine => {
  const target = config.classes.get(seen.class)?.target.attainment
  const attained = seen.requests === 0 ? 1 : seen.met / seen.requests
  const isMet = target === undefined || attained >= target
  return {
    class: seen.class,
    workspace: seen.workspace,
    requests: seen.requests,
    refused: seen.refused,
    failed: seen.failed,
    attained,
    target,
    isMet,
    p50: seen.p50,
    p95: seen.p95,
    p99: seen.p99,
    blame: isMet ? undefined : seen.blame
  }
}

/** What one instance knows, for operators. */
export const statusOf = (instance: EntryInstance, window: Millis) => {
  const view = instance.config.view()
  const roster = instance.roster.view()
  const age = instance.roster.age()
  return {
    instance: instance.self,
    isReady: instance.isReady,
    running: instance.runner.running,
    config: { version: view.version, author: view.author, unrecordedOuts: [...view.unrecordedOuts] },
    roster: {
      version: roster.version,
      members: roster.members,
      ageMillis: Number.isFinite(age) ? Math.round(age) : null
    },
    inForce: instance.config.inForce(),
    domainsOut: [...view.config.domainsOut],
    attainment: instance.metrics.attainment(window).map((seen) => lineOf(view.config, seen)),
    endpoints: instance.pool.snapshot().map(({ endpoint, ...rest }) => ({
      id: endpoint.id, service: endpoint.service, version: endpoint.version, domain: endpoint.domain, ...rest
    })),
    moves: instance.moves.status(),
    budgets: instance.cost.forecasts(),
    peers: instance.peers.members().map((peer) => ({ ...peer, silence: millis(Math.round(peer.silence)) }))
  }
}

export type InstanceStatus = ReturnType<typeof statusOf>
