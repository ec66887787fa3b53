import { brand, EventRecorder, millis, SeededRandom, seconds, tokens, VirtualClock } from '@papayahill/common'
import type {
  CallOutcome, ClassId, DomainId, EndpointId, Incarnation, InstanceId, RequestId, ServiceId, StageId, StageRecord, VersionId, WorkspaceId
} from '@papayahill/common'
import type { ConfigChange, ConfigLog, ConfigView } from '@papayahill/control'
import type { GossipEntry, Peers } from '@papayahill/peers'
import type { Row, RowKey, TableService } from '@papayahill/stores'
import { EMPTY_CONFIG } from '@papayahill/settings'
import type { MoveSettings, ServiceSettings } from '@papayahill/settings'
import { Result } from 'true-myth'
import { beforeEach, describe, expect, it } from 'vitest'
import { ROLLOUT_EVENTS } from './events.js'
import { MoveManager } from './MoveManager.js'

const SERVICE = brand<ServiceId>('assistant')
const OLD = brand<VersionId>('v1')
const NEW = brand<VersionId>('v2')
const ROUTE = { class: brand<ClassId>('guide'), stage: brand<StageId>('generate') }
const STEP = millis(20)

class Table implements Pick<TableService, 'read' | 'commit'> {
  isDown = false
  losesAnswers = false
  readonly rows = new Map<RowKey, Row>()

  async read (keys: readonly RowKey[]): ReturnType<TableService['read']> {
    if (this.isDown) return Result.err({ kind: 'unavailable', detail: 'down' })
    return Result.ok(keys.map((key) => this.#row(key)))
  }

  async commit ({ conditions, writes }: Parameters<TableService['commit']>[0]): ReturnType<TableService['commit']> {
    if (this.isDown) return Result.err({ kind: 'unavailable', detail: 'down' })
    const failed = conditions.filter(({ key, version }) => this.#row(key).version !== version)
    if (failed.length > 0) return Result.err({ kind: 'conflict', rows: failed.map(({ key }) => this.#row(key)) })
    const rows = writes.map(({ key, value }) => ({ key, value, version: this.#row(key).version + 1 }))
    for (const row of rows) this.rows.set(row.key, row)
    return this.losesAnswers ? Result.err({ kind: 'unknown', detail: 'lost' }) : Result.ok({ rows })
  }

  #row (key: RowKey): Row {
    return this.rows.get(key) ?? { key, version: 0, value: null }
  }
}

/** Gossip entries of all instances, delivered to each immediately. */
class Hub {
  readonly entries = new Map<string, GossipEntry>()
  readonly #listeners: Array<(entry: GossipEntry) => void> = []
  readonly #members: InstanceId[] = []
  #sequence = 0

  join (self: InstanceId, incarnation: Incarnation): Peers {
    this.#members.push(self)
    return {
      self,
      incarnation,
      members: () => this.#members.filter((id) => id !== self)
        .map((id) => ({ id, incarnation, domain: brand<DomainId>('d1'), silence: millis(0) })),
      entries: (topic) => [...this.entries.values()].filter((entry) => entry.topic === topic),
      onEntry: (topic, listener) => { this.#listeners.push((entry) => { if (entry.topic === topic) listener(entry) }) },
      publish: (topic, key, value) => {
        const entry: GossipEntry = { topic, key, owner: self, incarnation, sequence: this.#sequence++, value }
        this.entries.set(`${topic} ${self} ${key}`, entry)
        for (const listener of this.#listeners) listener(entry)
      }
    } as Partial<Peers> as Peers
  }
}

class Config implements Pick<ConfigLog, 'view' | 'propose' | 'onChange'> {
  readonly proposed: ConfigChange[] = []
  readonly #listeners: Array<(view: ConfigView) => void> = []
  #view: ConfigView = {
    version: 1,
    config: { ...EMPTY_CONFIG, services: new Map([[SERVICE, { id: SERVICE, version: OLD } as ServiceSettings]]) },
    author: undefined,
    unrecordedOuts: new Set()
  }

  view (): ConfigView {
    return this.#view
  }

  set (move: MoveSettings | undefined, version: VersionId = OLD): void {
    const moves = new Map(move === undefined ? [] : [[SERVICE, move]])
    const services = new Map([[SERVICE, { id: SERVICE, version } as ServiceSettings]])
    this.#view = { ...this.#view, version: this.#view.version + 1, config: { ...EMPTY_CONFIG, moves, services } }
    for (const listener of this.#listeners) listener(this.#view)
  }

  async propose (changes: readonly ConfigChange[]): ReturnType<ConfigLog['propose']> {
    this.proposed.push(...changes)
    this.set(undefined, NEW)
    return Result.ok({ version: this.#view.version, isRecorded: true })
  }

  onChange (listener: (view: ConfigView) => void): void {
    this.#listeners.push(listener)
  }
}

const recordOf = (version: VersionId, outcome: CallOutcome): StageRecord => ({
  call: { request: brand<RequestId>('r1'), stage: ROUTE.stage, attempt: 1 },
  service: SERVICE,
  version,
  endpoint: brand<EndpointId>('e1'),
  domain: brand<DomainId>('d1'),
  class: ROUTE.class,
  workspace: brand<WorkspaceId>('w1'),
  outcome,
  startedAt: millis(0),
  queued: millis(0),
  took: millis(100),
  usage: { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(0), busy: millis(100) }
})

describe('MoveManager', () => {
  let clock: VirtualClock
  let table: Table
  let hub: Hub
  let config: Config
  let events: EventRecorder
  let managers: MoveManager[]
  let slots: number

  const join = (name: string): MoveManager => {
    const self = brand<InstanceId>(name)
    const incarnation = brand<Incarnation>(`${name}#${managers.length}`)
    const manager = new MoveManager({
      self,
      incarnation,
      clock,
      random: new SeededRandom(managers.length + 1),
      table: table as Partial<TableService> as TableService,
      peers: hub.join(self, incarnation),
      config: config as Partial<ConfigLog> as ConfigLog,
      capacity: () => ({ slots }),
      log: events
    })
    manager.start()
    managers.push(manager)
    return manager
  }

  const startMove = (span = seconds(120), startedAt = 2): void =>
    config.set({ service: SERVICE, from: OLD, to: NEW, by: clock.wall() + span, startedAt })

  /** Sends calls through all instances for `span` milliseconds; returns how many went to the new version. */
  const serve = async (span: number, outcomeOfNew: CallOutcome = 'done'): Promise<number> => {
    let newCalls = 0
    for (let served = 0; served < span; served += STEP) {
      for (const manager of managers) {
        const [version] = manager.versionsFor(SERVICE, ROUTE)
        if (version === NEW) newCalls++
        manager.stageEnded(recordOf(version!, version === NEW ? outcomeOfNew : 'done'))
      }
      await clock.advance(STEP)
    }
    return newCalls
  }

  const countEvents = (kind: typeof ROLLOUT_EVENTS[keyof typeof ROLLOUT_EVENTS]): number =>
    events.records.filter((record) => record.kind === kind).length

  beforeEach(() => {
    clock = new VirtualClock()
    table = new Table()
    hub = new Hub()
    config = new Config()
    events = new EventRecorder(clock)
    managers = []
    slots = 100
    join('i1')
    join('i2')
  })

  describe('a good version', () => {
    it('completes by the deadline and records each step once', async () => {
      startMove()
      await serve(seconds(110))
      expect(config.proposed).toEqual([{ kind: 'move-done', service: SERVICE, version: NEW }])
      expect(managers[0]!.versionsFor(SERVICE, ROUTE)).toEqual([NEW])
      expect(managers[1]!.status()[0]).toMatchObject({ state: 'done', share: 1 })
      const shares = events.records.filter(({ kind }) => kind === ROLLOUT_EVENTS.moveStepped).map(({ fields }) => fields.share)
      expect(new Set(shares).size).toBe(shares.length)
    })

    it('completes even if every write answer of the store is lost', async () => {
      table.losesAnswers = true
      startMove()
      await serve(seconds(119))
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'done' })
    })

    it('gets no call before the store has confirmed the move', async () => {
      table.isDown = true
      startMove()
      expect(await serve(seconds(10))).toBe(0)
    })

    it('keeps its share while the store is down, and continues afterwards', async () => {
      startMove()
      await serve(seconds(5))
      table.isDown = true
      const [before] = managers[0]!.status()
      await serve(seconds(30))
      expect(managers[0]!.status()[0]!.share).toBe(before!.share)
      table.isDown = false
      await serve(seconds(80))
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'done' })
    })

    it('waits for slots and reports it', async () => {
      slots = 0
      startMove()
      expect(await serve(seconds(3))).toBe(0)
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'waiting-for-capacity' })
    })

    it('waits while an outage of a failure domain removes its slots, and completes when they are back', async () => {
      startMove()
      await serve(seconds(30))
      slots = 0
      await serve(seconds(30))
      const [without] = managers[0]!.status()
      expect(without).toMatchObject({ state: 'waiting-for-capacity' })
      slots = 100
      await serve(seconds(59))
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'done' })
    })

    it('is late, not done, if there is no traffic', async () => {
      startMove(seconds(20))
      await clock.advance(seconds(12))
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'waiting-for-traffic' })
      await clock.advance(seconds(12))
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'late' })
      expect(countEvents(ROLLOUT_EVENTS.moveLate)).toBe(2)
    })
  })

  describe('a bad version', () => {
    it('is rolled back permanently on all instances, and the store records it', async () => {
      startMove()
      await serve(seconds(30), 'failed')
      expect(await serve(seconds(30))).toBe(0)
      for (const manager of managers) {
        expect(manager.versionsFor(SERVICE, ROUTE)).toEqual([OLD])
        expect(manager.status()[0]).toMatchObject({ state: 'taken-back', isRecorded: true })
      }
    })

    it('is rolled back while the store is down, and recorded when it answers', async () => {
      startMove()
      await serve(seconds(3))
      table.isDown = true
      await serve(seconds(30), 'failed')
      expect(managers[1]!.status()[0]).toMatchObject({ state: 'taken-back', isRecorded: false })
      expect(await serve(seconds(5))).toBe(0)
      table.isDown = false
      await serve(seconds(10))
      expect(managers[1]!.status()[0]).toMatchObject({ isRecorded: true })
    })

    it('gets no call from an instance that starts later, whether the store is down or up', async () => {
      startMove()
      await serve(seconds(30), 'failed')
      table.isDown = true
      const viaGossip = join('i3')
      await clock.advance(seconds(1))
      expect(viaGossip.versionsFor(SERVICE, ROUTE)).toEqual([OLD])
      hub.entries.clear()
      table.isDown = false
      const viaStore = join('i4')
      await clock.advance(seconds(6))
      expect(viaStore.status()[0]).toMatchObject({ state: 'taken-back' })
    })

    it('gets calls again only in a new move', async () => {
      startMove()
      await serve(seconds(30), 'failed')
      startMove(seconds(120), 9)
      expect(await serve(seconds(10))).toBeGreaterThan(0)
    })

    it('is rolled back if its failures start late', async () => {
      startMove()
      await serve(seconds(60))
      await serve(seconds(3), 'failed')
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'taken-back' })
    })
  })

  it('neither writes the row nor calls the new version if the row belongs to a later move', async () => {
    startMove(seconds(120), 9)
    await serve(seconds(20))
    const before = [...table.rows.values()]
    const late = join('late')
    config.set({ service: SERVICE, from: OLD, to: NEW, by: clock.wall() + seconds(100), startedAt: 2 })
    await clock.advance(seconds(10))
    expect([...table.rows.values()]).toEqual(before)
    expect(late.versionsFor(SERVICE, ROUTE)).toEqual([OLD])
  })

  describe('an operator', () => {
    it('stops a move, and the old version serves all calls', async () => {
      startMove()
      await serve(seconds(30))
      config.set(undefined)
      expect(managers[0]!.versionsFor(SERVICE, ROUTE)).toEqual([OLD])
      expect(managers[0]!.status()[0]).toMatchObject({ state: 'stopped' })
    })
  })

  it('continues after the instance that recorded the last step dies', async () => {
    startMove()
    await serve(seconds(40))
    managers.shift()!.stop()
    await serve(seconds(79))
    expect(managers[0]!.status()[0]).toMatchObject({ state: 'done' })
  })

  it('never uses the new version as a fallback while it is probed', async () => {
    startMove()
    await serve(seconds(2))
    const answers = Array.from({ length: 200 }, () => managers[0]!.versionsFor(SERVICE, ROUTE))
    expect(answers.filter(([first]) => first === OLD).every((versions) => !versions.includes(NEW))).toBe(true)
    expect(answers.filter(([first]) => first === NEW).every((versions) => versions[1] === OLD)).toBe(true)
  })
})
