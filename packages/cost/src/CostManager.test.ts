import { brand, EventRecorder, microUnits, millis, seconds, tokens, VirtualClock } from '@papayahill/common'
import type {
  ClassId, DomainId, EndpointId, Incarnation, InstanceId, Json, PipelineId, RequestId, RequestRecord, ServiceId, StageId, StageRecord,
  VersionId, WorkspaceId
} from '@papayahill/common'

import type { PeerHandler, Peers } from '@papayahill/peers'
import type { Row, RowKey, TableService } from '@papayahill/stores'
import { EMPTY_CONFIG } from '@papayahill/settings'
import type { BudgetAction, BudgetSettings, ClassSettings, OperatorConfig, ServiceSettings } from '@papayahill/settings'
import { Result } from 'true-myth'
import { beforeEach, describe, expect, it } from 'vitest'
import { CostManager } from './CostManager.js'
import { COST_EVENTS } from './events.js'
import type { CostRow } from './types.js'

const SERVICE = brand<ServiceId>('assistant')
const GUIDE = brand<ClassId>('guide')
const ORDER = brand<ClassId>('order')
const NORTE = brand<WorkspaceId>('norte')
const CALL_PRICE = 100
const FREE = microUnits(0)

class FakeTable implements Pick<TableService, 'read' | 'scan' | 'commit'> {
  isDown = false
  isLosingAnswers = false
  readonly rows = new Map<RowKey, Row>()

  async read (keys: readonly RowKey[]): ReturnType<TableService['read']> {
    return this.isDown ? Result.err({ kind: 'unavailable', detail: 'down' }) : Result.ok(keys.map((key) => this.#row(key)))
  }

  async scan (prefix: string, after: RowKey | undefined, limit: number): ReturnType<TableService['scan']> {
    if (this.isDown) return Result.err({ kind: 'unavailable', detail: 'down' })
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && (after === undefined || key > after)).sort()
    return Result.ok(keys.slice(0, limit).map((key) => this.#row(key)))
  }

  async commit ({ conditions, writes }: Parameters<TableService['commit']>[0]): ReturnType<TableService['commit']> {
    if (this.isDown) return Result.err({ kind: 'unavailable', detail: 'down' })
    const failed = conditions.filter(({ key, version }) => this.#row(key).version !== version)
    if (failed.length > 0) return Result.err({ kind: 'conflict', rows: failed.map(({ key }) => this.#row(key)) })
    const rows = writes.map(({ key, value }) => ({ key, value, version: this.#row(key).version + 1 }))
    for (const row of rows) this.rows.set(row.key, row)
    return this.isLosingAnswers ? Result.err({ kind: 'unknown', detail: 'lost' }) : Result.ok({ rows })
  }

  #row (key: RowKey): Row {
    return this.rows.get(key) ?? { key, version: 0, value: null }
  }
}

/** Delivers messages between instances without delay; an isolated instance neither sends nor receives. */
class FakePeers {
  readonly isolated = new Set<InstanceId>()
  isLosingFrames = false
  readonly #handlers = new Map<InstanceId, PeerHandler>()
  readonly #incarnations = new Map<InstanceId, Incarnation>()

  join (self: InstanceId, incarnation: Incarnation): Peers {
    this.#incarnations.set(self, incarnation)
    const others = () => [...this.#incarnations].filter(([id]) => id !== self && !this.isolated.has(id) && !this.isolated.has(self))
    const isCut = (to: InstanceId): boolean => this.isLosingFrames || this.isolated.has(to) || this.isolated.has(self)
    const deliver = async (to: InstanceId, message: Json): Promise<Json | undefined> =>
      isCut(to) ? undefined : await this.#handlers.get(to)?.(self, message, incarnation)
    return {
      self,
      incarnation,
      members: () => others().map(([id, known]) => ({ id, incarnation: known, domain: brand<DomainId>('d1'), silence: millis(0) })),
      isConnected: (id) => !this.isolated.has(id) && !this.isolated.has(self),
      handle: (topic, handler) => { this.#handlers.set(self, handler) },
      send: (to, topic, message) => { void deliver(to, message) },
      ask: async (to, topic, message) => {
        const answer = await deliver(to, message)
        return answer === undefined ? Result.err({ kind: 'unreachable', detail: 'cut' }) : Result.ok(answer)
      }
    } as Partial<Peers> as Peers
  }
}

const configOf = (budgets: readonly BudgetSettings[]): OperatorConfig => ({
  ...EMPTY_CONFIG,
  budgets,
  services: new Map([[SERVICE, {
    id: SERVICE,
    prices: {
      perCall: microUnits(CALL_PRICE), perSecond: FREE, perThousandTokensIn: FREE, perThousandTokensCached: FREE, perThousandTokensOut: FREE
    }
  } as ServiceSettings]]),
  classes: new Map([GUIDE, ORDER].map((id) => [id, {
    id, pipeline: brand<PipelineId>('p'), repeatable: id === GUIDE, target: { deadline: seconds(8), attainment: 0.95 }
  } as ClassSettings]))
})

const stageOf = (changes: Partial<StageRecord> = {}): StageRecord => ({
  call: { request: brand<RequestId>('r1'), stage: brand<StageId>('generate'), attempt: 1 },
  service: SERVICE,
  version: brand<VersionId>('v1'),
  endpoint: brand<EndpointId>('e1'),
  domain: brand<DomainId>('d1'),
  class: GUIDE,
  workspace: NORTE,
  outcome: 'done',
  startedAt: millis(0),
  queued: millis(0),
  took: millis(100),
  usage: { tokensIn: tokens(600), tokensCached: tokens(0), tokensOut: tokens(40), busy: millis(100) },
  ...changes
})

const requestOf = (changes: Partial<RequestRecord> = {}): RequestRecord => ({
  request: brand<RequestId>('r1'),
  class: GUIDE,
  workspace: NORTE,
  outcome: 'answered',
  isTargetMet: true,
  startedAt: millis(0),
  took: millis(200),
  ...changes
})

const costOf = (rows: readonly CostRow[], use?: CostRow['use']): number =>
  rows.filter((row) => use === undefined || row.use === use).reduce((sum, { cost }) => sum + cost, 0)

describe('CostManager', () => {
  let clock: VirtualClock
  let table: FakeTable
  let fakePeers: FakePeers
  let events: EventRecorder
  let budgets: BudgetSettings[]
  let config: OperatorConfig

  const startInstance = (name: string): CostManager => {
    const self = brand<InstanceId>(name)
    const incarnation = brand<Incarnation>(`${name}#1`)
    const manager = new CostManager({
      self,
      incarnation,
      clock,
      table: table as Partial<TableService> as TableService,
      peers: fakePeers.join(self, incarnation),
      config: () => config,
      log: events
    })
    manager.start()
    return manager
  }

  const rowsOf = (manager: CostManager): Promise<readonly CostRow[]> => manager.rows('2027-01-04', '2027-01-05')

  const meterCalls = (manager: CostManager, calls: number, changes: Partial<StageRecord> = {}): void => {
    for (let call = 0; call < calls; call++) manager.stageEnded(stageOf(changes))
  }

  beforeEach(() => {
    clock = new VirtualClock()
    table = new FakeTable()
    fakePeers = new FakePeers()
    events = new EventRecorder(clock)
    budgets = []
    config = configOf(budgets)
  })

  describe('metering', () => {
    it('counts a call once by workspace, class and stage', async () => {
      const manager = startInstance('i1')
      meterCalls(manager, 3)
      expect(await rowsOf(manager)).toMatchObject([{ workspace: NORTE, class: GUIDE, stage: 'generate', use: 'needed', calls: 3, cost: 3 * CALL_PRICE }])
    })

    it('counts waste on separate lines by cause', async () => {
      const manager = startInstance('i1')
      meterCalls(manager, 1, { outcome: 'timed-out' })
      meterCalls(manager, 1, { outcome: 'cancelled' })
      const rows = await rowsOf(manager)
      expect(costOf(rows, 'retry')).toBe(CALL_PRICE)
      expect(costOf(rows, 'cancelled')).toBe(CALL_PRICE)
      expect(costOf(rows, 'needed')).toBe(0)
    })

    it.each([
      ['caller-gone', 'cancelled'], ['deadline-passed', 'abandoned'], ['over-capacity', 'refused-downstream']
    ] as const)('turns the stages of a request that ended with %s into waste: %s', async (error, cause) => {
      const manager = startInstance('i1')
      const stage = stageOf()
      manager.stageEnded(stage)
      manager.requestEnded(requestOf({ outcome: 'failed', error }), [stage])
      const rows = await rowsOf(manager)
      expect(rows).toMatchObject([{ use: cause, calls: 1, cost: CALL_PRICE }])
    })

    it('does not meter calls that never reached an endpoint or whose usage is unknown', async () => {
      const manager = startInstance('i1')
      meterCalls(manager, 1, { outcome: 'not-sent' })
      meterCalls(manager, 1, { outcome: 'cut', isUsageKnown: false })
      expect(await rowsOf(manager)).toEqual([])
    })
  })

  describe('recording', () => {
    it('counts everything once if every answer of the store is lost', async () => {
      table.isLosingAnswers = true
      const manager = startInstance('i1')
      meterCalls(manager, 2)
      await clock.advance(seconds(30))
      meterCalls(manager, 3)
      await clock.advance(seconds(30))
      expect(costOf(await rowsOf(manager))).toBe(5 * CALL_PRICE)
    })

    it('includes work of all instances that is not recorded yet', async () => {
      table.isDown = true
      const managers = [startInstance('i1'), startInstance('i2'), startInstance('i3')]
      for (const manager of managers) meterCalls(manager, 2)
      await clock.advance(seconds(1))
      expect(costOf(await rowsOf(managers[2]!))).toBe(6 * CALL_PRICE)
    })

    it('records the work of a crashed instance once', async () => {
      table.isDown = true
      const [crashed, ...others] = [startInstance('i1'), startInstance('i2'), startInstance('i3'), startInstance('i4')]
      meterCalls(crashed!, 7)
      await clock.advance(seconds(1))
      crashed!.stop()
      fakePeers.isolated.add(brand<InstanceId>('i1'))
      table.isDown = false
      await clock.advance(seconds(60))
      expect(costOf(await rowsOf(others[0]!))).toBe(7 * CALL_PRICE)
      expect(events.records.some(({ kind }) => kind === COST_EVENTS.deadMeterRecorded)).toBe(true)
    })

    it('sends everything again to a backup peer that restarted unnoticed', async () => {
      table.isDown = true
      const [crashed, backupPeer] = [startInstance('i1'), startInstance('i2')]
      meterCalls(crashed!, 4)
      await clock.advance(seconds(1))
      backupPeer!.stop()
      const restarted = startInstance('i2')
      meterCalls(crashed!, 2, { class: ORDER })
      await clock.advance(seconds(1))
      crashed!.stop()
      fakePeers.isolated.add(brand<InstanceId>('i1'))
      expect(costOf(await rowsOf(restarted))).toBe(6 * CALL_PRICE)
    })

    it('sends the lines of a lost frame again', async () => {
      table.isDown = true
      const [crashed, backupPeer] = [startInstance('i1'), startInstance('i2')]
      meterCalls(crashed!, 1)
      await clock.advance(seconds(1))
      fakePeers.isLosingFrames = true
      meterCalls(crashed!, 2, { workspace: brand<WorkspaceId>('sul') })
      await clock.advance(seconds(2))
      fakePeers.isLosingFrames = false
      meterCalls(crashed!, 1, { class: ORDER })
      await clock.advance(seconds(1))
      crashed!.stop()
      fakePeers.isolated.add(brand<InstanceId>('i1'))
      expect(costOf(await rowsOf(backupPeer!))).toBe(4 * CALL_PRICE)
    })

    it('counts everything once if an instance that was assumed dead comes back and continues', async () => {
      const [paused, other] = [startInstance('i1'), startInstance('i2')]
      table.isDown = true
      meterCalls(paused!, 4)
      await clock.advance(seconds(1))
      fakePeers.isolated.add(brand<InstanceId>('i1'))
      paused!.stop()
      table.isDown = false
      await clock.advance(seconds(60))
      fakePeers.isolated.clear()
      paused!.start()
      meterCalls(paused!, 2)
      await clock.advance(seconds(20))
      expect(costOf(await rowsOf(other!))).toBe(6 * CALL_PRICE)
    })

    it('flushes before a planned stop', async () => {
      const manager = startInstance('i1')
      meterCalls(manager, 1)
      await manager.flush()
      manager.stop()
      expect(table.rows.size).toBe(1)
    })
  })

  describe('budgets', () => {
    const budgetOf = (atLimit: BudgetAction, changes: Partial<BudgetSettings> = {}): BudgetSettings =>
      ({ workspace: NORTE, period: 'day', limit: microUnits(10 * CALL_PRICE), atLimit, ...changes })

    const spendAll = async (budget: BudgetSettings): Promise<CostManager> => {
      config = configOf([budget])
      const manager = startInstance('i1')
      await clock.advance(seconds(1))
      meterCalls(manager, 10)
      return manager
    }

    it.each([
      ['warn', false, false], ['refuse-what-can-wait', true, false], ['refuse', true, true]
    ] as const)('%s: refuses a guide %s, an order %s', async (atLimit, refusesGuide, refusesOrder) => {
      const manager = await spendAll(budgetOf(atLimit))
      expect(manager.check(NORTE, GUIDE).isErr).toBe(refusesGuide)
      expect(manager.check(NORTE, ORDER).isErr).toBe(refusesOrder)
    })

    it('does not affect other workspaces and classes, and resets the next day', async () => {
      const manager = await spendAll(budgetOf('refuse', { class: GUIDE }))
      expect(manager.check(NORTE, GUIDE)).toMatchObject({ error: { kind: 'over-budget', run: 'not-run', retryAfter: expect.any(Number) } })
      expect(manager.check(NORTE, ORDER).isOk).toBe(true)
      expect(manager.check(brand<WorkspaceId>('sur'), GUIDE).isOk).toBe(true)
      await clock.advance(seconds(24 * 3600 + 30))
      expect(manager.check(NORTE, GUIDE).isOk).toBe(true)
    })

    it('counts the spend of other instances', async () => {
      config = configOf([budgetOf('refuse')])
      const [first, second] = [startInstance('i1'), startInstance('i2')]
      meterCalls(first!, 10)
      await clock.advance(seconds(30))
      expect(second!.check(NORTE, GUIDE).isErr).toBe(true)
      const passed = events.records.filter(({ kind }) => kind === COST_EVENTS.budgetPassed)
      expect(passed).toHaveLength(1)
      expect(passed[0]?.fields).toMatchObject({ workspace: NORTE, driverClass: GUIDE, driverStage: 'generate' })
    })
  })
})
