import { brand, epochMillis, millis, MILLIS_PER_MINUTE, SeededRandom, VirtualClock, EventRecorder } from '@papayahill/common'
import type { EndpointId, InstanceId, Json } from '@papayahill/common'
import type { GossipEntry } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import { partIdOf, wholeIdOf } from './partIdOf.js'
import { QuarantineManager } from './QuarantineManager.js'
import { scopeIdOf } from './scopeIdOf.js'
import type { PartId, ScopedIncarnation, ScopeId } from './types.js'

const V1 = scopeIdOf(brand('pool'), 'v1', 'm')
const V2 = scopeIdOf(brand('pool'), 'v2', 'm')
const OTHER_SERVICE = scopeIdOf(brand('desk'), 'v1', 'm')

const partsOf = (...ids: readonly string[]): readonly PartId[] => ids.map(partIdOf)

const DEADLY = partsOf('first', 'deadly')

/** What an instance lost with an endpoint: the parts of a call that had not begun, or a whole request midway. */
type Lost = readonly [manager: QuarantineManager, parts: readonly PartId[] | PartId]

/** Instances whose messages reach each other at once, unless one is deaf. */
class Instances {
  readonly clock = new VirtualClock()
  readonly ids: InstanceId[] = []
  readonly published: Json[] = []
  readonly logs = new Map<InstanceId, EventRecorder>()
  readonly #listeners = new Map<InstanceId, (entry: GossipEntry) => void>()
  #crashes = 0

  add (): QuarantineManager {
    const self = brand<InstanceId>(`i${this.ids.length + 1}`)
    this.ids.push(self)
    const log = new EventRecorder(this.clock)
    this.logs.set(self, log)
    return new QuarantineManager({
      clock: this.clock,
      random: new SeededRandom(this.ids.length),
      log,
      instances: () => this.ids,
      peers: {
        self,
        publish: (_topic, _key, value) => this.#spread(self, value),
        onEntry: (_topic, listener) => { this.#listeners.set(self, listener) }
      }
    })
  }

  /** An endpoint of the scope crashes with requests of these instances. */
  async crash (scope: ScopeId, ...lost: readonly Lost[]): Promise<void> {
    const id = `e${++this.#crashes}`
    const incarnation: ScopedIncarnation = { scope, endpoint: brand<EndpointId>(id), incarnation: id }
    for (const [manager, parts] of lost) {
      if (Array.isArray(parts)) manager.noteLost(incarnation, parts)
      else manager.noteLostWhole(parts as PartId, { incarnation, suspects: [parts as PartId] })
    }
    for (const [manager] of lost) manager.confirmCrash(id)
    await this.clock.advance(millis(1000))
  }

  /** Delivers bytes of another instance to all. */
  deliver (value: Json): void {
    this.#spread(brand<InstanceId>('stranger'), value)
  }

  #spread (owner: InstanceId, value: Json): void {
    this.published.push(value)
    for (const [id, listener] of this.#listeners) if (id !== owner) listener({ owner, value } as GossipEntry)
  }
}

const isRefused = (manager: QuarantineManager, parts: readonly PartId[], scope = V1): boolean =>
  manager.check(parts).find(scope) !== undefined

describe('QuarantineManager', () => {
  const twoInstances = (): { readonly fleet: Instances, readonly one: QuarantineManager, readonly two: QuarantineManager } => {
    const fleet = new Instances()
    const [one, two] = [fleet.add(), fleet.add()]
    for (const manager of [one, two]) manager.noteBegun(V1, partsOf('first'))
    return { fleet, one, two }
  }

  const quarantined = async (): Promise<ReturnType<typeof twoInstances>> => {
    const all = twoInstances()
    for (const manager of [all.one, all.two, all.one]) await all.fleet.crash(V1, [manager, DEADLY])
    return all
  }

  describe('crashes that different instances saw', () => {
    it('are counted together, once for each incarnation', async () => {
      const { fleet, one, two } = twoInstances()
      await fleet.crash(V1, [one, DEADLY], [two, DEADLY])
      await fleet.crash(V1, [one, DEADLY], [two, DEADLY])
      expect([one, two].some((manager) => isRefused(manager, DEADLY))).toBe(false)
      await fleet.crash(V1, [two, DEADLY])
      expect([one, two].every((manager) => isRefused(manager, DEADLY))).toBe(true)
    })

    it('do not count for parts on which an answer began at any instance', async () => {
      const { fleet, one, two } = twoInstances()
      two.noteBegun(V1, DEADLY)
      for (let crash = 0; crash < 6; crash++) await fleet.crash(V1, [one, DEADLY])
      expect(isRefused(one, DEADLY)).toBe(false)
    })

    it('do not count while no answer at all has begun on their version', async () => {
      const { fleet, one, two } = twoInstances()
      for (let crash = 0; crash < 6; crash++) await fleet.crash(V2, [one, partsOf('first', `s${crash}`, 'x')], [two, DEADLY])
      expect(one.size + two.size).toBe(0)
    })
  })

  describe('a quarantine', () => {
    it('reaches an instance that joins after it', async () => {
      const { fleet, one } = await quarantined()
      const late = fleet.add()
      for (const value of [...fleet.published]) fleet.deliver(value)
      expect(isRefused(late, DEADLY)).toBe(true)
      expect(isRefused(one, partsOf('first', 'other'))).toBe(false)
    })

    it('does not reach an instance that knows an answer on the part, which tells the others', async () => {
      const { fleet, one } = twoInstances()
      const late = fleet.add()
      for (let crash = 0; crash < 3; crash++) await fleet.crash(V1, [one, DEADLY])
      expect(isRefused(late, DEADLY)).toBe(true)
      const cutOff = fleet.add()
      cutOff.noteBegun(V1, DEADLY)
      for (const value of [...fleet.published]) fleet.deliver(value)
      await fleet.clock.advance(millis(1000))
      expect([one, late, cutOff].map((manager) => isRefused(manager, DEADLY))).toEqual([false, false, false])
    })

    it('withdraws requests that were sent, but not the one that tries it', async () => {
      const { one } = await quarantined()
      expect(one.check(DEADLY).mustWithdraw(V1)).toBe(true)
      expect(one.check(partsOf('first')).mustWithdraw(V1)).toBe(false)
    })

    it('holds for other services never, and for another version until one request has tried it there', async () => {
      const { one, two } = await quarantined()
      expect(isRefused(one, DEADLY, OTHER_SERVICE)).toBe(false)
      for (const manager of [one, two]) expect(isRefused(manager, DEADLY, V2)).toBe(true)
      for (const manager of [one, two]) manager.noteBegun(V2, partsOf('first'))
      const tries = [one, two].flatMap((manager) => [1, 2, 3].filter(() => !isRefused(manager, DEADLY, V2)))
      expect(tries).toHaveLength(1)
      one.noteBegun(V2, DEADLY)
      for (const manager of [one, two]) expect([isRefused(manager, DEADLY, V2), isRefused(manager, DEADLY)]).toEqual([false, true])
    })
  })

  describe('a trial', () => {
    /** How many of several requests at both instances are let through. */
    const passed = (...managers: readonly QuarantineManager[]): number =>
      managers.flatMap((manager) => [1, 2, 3].map(() => isRefused(manager, DEADLY))).filter((isHeld) => !isHeld).length

    it('lets one request through after a minute, over all instances', async () => {
      const { fleet, one, two } = await quarantined()
      await fleet.clock.advance(millis(0.9 * MILLIS_PER_MINUTE))
      expect(passed(one, two)).toBe(0)
      await fleet.clock.advance(millis(0.2 * MILLIS_PER_MINUTE))
      expect(passed(one, two)).toBe(1)
      expect(passed(one, two)).toBe(0)
    })

    it('ends the quarantine at all instances if an answer begins', async () => {
      const { fleet, one, two } = await quarantined()
      await fleet.clock.advance(millis(1.1 * MILLIS_PER_MINUTE))
      one.noteBegun(V1, DEADLY)
      expect([one, two].map((manager) => isRefused(manager, DEADLY))).toEqual([false, false])
    })

    it('is made half as often after each crash', async () => {
      const { fleet, one, two } = await quarantined()
      await fleet.clock.advance(millis(1.1 * MILLIS_PER_MINUTE))
      await fleet.crash(V1, [one, DEADLY])
      await fleet.clock.advance(millis(1.5 * MILLIS_PER_MINUTE))
      expect(passed(one, two)).toBe(0)
      await fleet.clock.advance(millis(MILLIS_PER_MINUTE))
      expect(passed(one, two)).toBe(1)
    })

    it('does not pass a second time with the same request', async () => {
      const { fleet, one, two } = await quarantined()
      await fleet.clock.advance(millis(1.1 * MILLIS_PER_MINUTE))
      const check = [one, two].map((manager) => manager.check(DEADLY)).find((each) => each.find(V1) === undefined)
      expect(check?.find(V1)).toBeUndefined()
      check?.noteSent()
      expect(check?.mustWithdraw(V1)).toBe(false)
      expect(check?.find(V1)).toBeDefined()
    })
  })

  describe('an operator\'s order', () => {
    const order = (action: 'lift' | 'pin', at: number): Parameters<QuarantineManager['order']>[0] =>
      ({ action, scope: V1, parts: partsOf('deadly'), by: 'ana', at: epochMillis(at) })

    it('lifts a quarantine at all instances until new crashes come', async () => {
      const { fleet, one, two } = await quarantined()
      two.order(order('lift', fleet.clock.wall()))
      expect([one, two].map((manager) => isRefused(manager, DEADLY))).toEqual([false, false])
      for (const manager of [one, two, one]) await fleet.crash(V1, [manager, DEADLY])
      expect(isRefused(two, DEADLY)).toBe(true)
    })

    it('pins one for good, without trials', async () => {
      const { fleet, one, two } = twoInstances()
      one.order(order('pin', fleet.clock.wall()))
      await fleet.clock.advance(millis(600 * MILLIS_PER_MINUTE))
      expect([one, two].map((manager) => isRefused(manager, DEADLY))).toEqual([true, true])
    })
  })

  describe('a message that cannot be read', () => {
    it.each<[string, Json]>([
      ['no list', { kind: 'crash' }],
      ['an unknown kind', [9, 'pool v1 m', []]],
      ['too many requests', [0, 'pool v1 m', 'e1', 'e1', 1, Array.from({ length: 99 }, () => ['a'])]],
      ['a part that is no text', [1, 'pool v1 m', [7]]],
      ['a part without end', [2, 'pool v1 m', ['x'.repeat(999)], 3, 1, 0, []]],
      ['a quarantine of nothing', [2, 'pool v1 m', [], 3, 1, 0, []]]
    ])('is ignored and logged: %s', (_what, value) => {
      const { fleet, one } = twoInstances()
      fleet.deliver(value)
      expect(one.size).toBe(0)
      expect(fleet.logs.get(fleet.ids[0]!)!.records.map(({ kind }) => kind.name)).toEqual(['quarantineMalformed'])
    })
  })

  describe('a whole request that comes again', () => {
    const WHOLE = wholeIdOf('q1Lr0cVh2xk9JbJd')
    const isKept = (manager: QuarantineManager, whole = WHOLE): boolean => manager.check(partsOf('first'), () => whole).find(V1) !== undefined

    const crashed = async (crashes: number): Promise<ReturnType<typeof twoInstances>> => {
      const { fleet, one, two } = twoInstances()
      for (let crash = 0; crash < crashes; crash++) {
        const lost = [one, two][crash % 2]!
        await fleet.crash(V1, [lost, lost.check(partsOf('first'), () => WHOLE).suspects])
      }
      return { fleet, one, two }
    }

    it('is kept from endpoints after three crashes though answers have begun on all its parts, and others with them are not', async () => {
      const { one, two } = await crashed(3)
      expect([one, two].map((manager) => isKept(manager))).toEqual([true, true])
      expect(isKept(one, wholeIdOf('another'))).toBe(false)
    })

    it('is cleared by an answer that ended, not by one that began', async () => {
      const { one, two } = await crashed(3)
      one.noteBegun(V1, partsOf('first'))
      expect(isKept(two)).toBe(true)
      one.noteEnded(V1, WHOLE)
      expect([one, two].map((manager) => isKept(manager))).toEqual([false, false])
    })

    it('is suspected once of the crashes in which one attempt was lost midway', () => {
      const check = new Instances().add().check(partsOf('first'), () => WHOLE)
      expect([check.takeMidwayLoss(), check.takeMidwayLoss()]).toEqual([WHOLE, undefined])
      expect(check.suspects).toEqual([...partsOf('first'), WHOLE])
    })

    it('is told to the others once it was lost midway with two incarnations, by all that saw one', async () => {
      const { fleet, one, two } = twoInstances()
      const lose = async (manager: QuarantineManager): Promise<void> =>
        await fleet.crash(V1, [manager, WHOLE])
      await lose(two)
      await lose(one)
      expect(fleet.published).toEqual([])
      await lose(one)
      expect([one, two].map((manager) => isKept(manager))).toEqual([true, true])
    })

    it('counts a crash that is told late though what was told of it before was cleared meanwhile', async () => {
      const { fleet, one, two } = twoInstances()
      const bystanders = ['b1', 'b2', 'b3'].map((id) => [one, partsOf(id)] as const)
      await fleet.crash(V1, ...bystanders, [one, WHOLE])
      one.noteBegun(V1, partsOf('b1', 'b2', 'b3'))
      for (let crash = 0; crash < 2; crash++) await fleet.crash(V1, [one, WHOLE])
      expect([one, two].map((manager) => isKept(manager))).toEqual([true, true])
    })

    it('that has always ended before is not suspected in a crash', async () => {
      const { fleet, one, two } = twoInstances()
      one.noteEnded(V1, WHOLE)
      for (let crash = 0; crash < 3; crash++) await fleet.crash(V1, [one, [WHOLE]])
      expect([one, two].map((manager) => isKept(manager))).toEqual([false, false])
    })

    it('counts crashes of other endpoints only, before it is sent on', async () => {
      const { one } = await crashed(2)
      expect(one.crashesWith({ scope: V1, endpoint: brand<EndpointId>('e9'), incarnation: 'e9' }, WHOLE)).toBe(2)
      expect(one.crashesWith({ scope: V1, endpoint: brand<EndpointId>('e2'), incarnation: 'e2' }, WHOLE)).toBe(1)
    })

    it('cannot be named by a caller as a part of a prompt', () => {
      expect(partIdOf(WHOLE)).not.toBe(WHOLE)
    })

    it('shares an endpoint with others of its kind only once it was lost with two', async () => {
      expect((await crashed(1)).one.suspectIn(V1, [WHOLE])).toBeUndefined()
      expect((await crashed(2)).one.suspectIn(V1, [WHOLE])).toBe(WHOLE)
    })
  })
})
