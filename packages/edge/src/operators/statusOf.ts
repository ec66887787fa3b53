import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { EntryInstance } from '@papayahill/instance'
import type { Attainment } from '@papayahill/metrics'
import type { OperatorConfig } from '@papayahill/settings'

/** Attainment of a class, for one workspace or for all, as shown to operators. */
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
  /** Stage that caused the miss, if the target is missed. */
  readonly blame: string | undefined
}

const lineOf = (config: OperatorConfig, attainment: Attainment): AttainmentLine => {
  const target = config.classes.get(attainment.class)?.target.attainment
  const attained = attainment.requests === 0 ? 1 : attainment.met / attainment.requests
  const isMet = target === undefined || attained >= target
  return {
    class: attainment.class,
    workspace: attainment.workspace,
    requests: attainment.requests,
    refused: attainment.refused,
    failed: attainment.failed,
    attained,
    target,
    isMet,
    p50: attainment.p50,
    p95: attainment.p95,
    p99: attainment.p99,
    blame: isMet ? undefined : attainment.blame
  }
}

/** Status of one instance as shown to operators. */
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
