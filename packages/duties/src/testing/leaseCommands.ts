import { millis } from '@papayahill/common'
import fc from 'fast-check'
import type { DutyHarness, DutyInstance } from './DutyHarness.js'
import type { DutyTableCopy } from './FaultyDutyTable.js'
import type { FreezeKind } from './SimulatedMachine.js'

/** Instances of the model. */
export const MODEL_SIZE = 3

/** The system under test: instances with their lease and senders, the row in the store, and the platform. */
export interface LeaseSystem {
  readonly harness: DutyHarness
  readonly copies: DutyTableCopy[]
}

/** The model needs no state of its own: the rules are checked on what the platform received. */
export type LeaseModel = Record<string, never>

/** Throws if a rule was broken so far. */
export const checkRules = ({ harness }: LeaseSystem): void => {
  const { sharedTokens, tokensBack, interleaved } = harness.platform.violations
  if (sharedTokens > 0) throw new Error(`R1: ${sharedTokens} calls with the token of another machine`)
  if (tokensBack > 0) throw new Error(`R2: ${tokensBack} calls with a lower token than one before`)
  if (interleaved > 0) throw new Error(`R3: ${interleaved} calls in the order A, B, A`)
  const tokens = harness.takenTokens
  if (tokens.some((token, at) => at > 0 && token <= tokens[at - 1]!)) throw new Error(`R4: tokens went back: ${tokens.join(', ')}`)
}

type Step = (system: LeaseSystem) => void

class LeaseCommand implements fc.AsyncCommand<LeaseModel, LeaseSystem> {
  readonly #text: string
  readonly #step: Step
  readonly #span: number

  constructor (text: string, span: number, step: Step) {
    this.#text = text
    this.#step = step
    this.#span = span
  }

  check (): boolean {
    return true
  }

  async run (_model: LeaseModel, system: LeaseSystem): Promise<void> {
    this.#step(system)
    await system.harness.clock.advance(millis(this.#span))
    checkRules(system)
  }

  toString (): string {
    return `${this.#text}, then ${this.#span} ms`
  }
}

/** Time after a command; the longest ones exceed the wait of candidates. */
const span = fc.oneof(fc.integer({ min: 1, max: 600 }), fc.integer({ min: 600, max: 5000 }))
/** An instance by number, or the holder, at which most faults matter. */
const target = fc.oneof(fc.constant('holder' as const), fc.integer({ min: 0, max: MODEL_SIZE - 1 }))
type Target = number | 'holder'

const instanceAt = ({ harness }: LeaseSystem, at: Target): DutyInstance | undefined =>
  at === 'holder' ? harness.holder : harness.instances[at]

const command = (text: string, step: Step) => span.map((time) => new LeaseCommand(text, time, step))

const targeted = (text: string, step: (system: LeaseSystem, instance: DutyInstance) => void) =>
  fc.tuple(target, span).map(([at, time]) => new LeaseCommand(`${text} ${at}`, time, (system) => {
    const instance = instanceAt(system, at)
    if (instance !== undefined) step(system, instance)
  }))

const freezes = fc.tuple(target, fc.constantFrom<FreezeKind>('stopped', 'suspended'), fc.integer({ min: 50, max: 12_000 }), span)
  .map(([at, kind, time, after]) => new LeaseCommand(`freeze ${at} (${kind}) for ${time} ms`, after, (system) => {
    const instance = instanceAt(system, at)
    if (instance === undefined || instance.isFrozen) return
    system.harness.freeze(instance, kind)
    system.harness.clock.after(millis(time), () => system.harness.resume(instance))
  }))

const jumps = fc.tuple(target, fc.integer({ min: -8000, max: 8000 }), span)
  .map(([at, by, time]) => new LeaseCommand(`wall clock of ${at} jumps by ${by} ms`, time, (system) => {
    instanceAt(system, at)?.machine.jump(millis(by))
  }))

const lateCommits = fc.tuple(fc.integer({ min: 1, max: 3 }), fc.integer({ min: 100, max: 8000 }), span)
  .map(([count, by, time]) => new LeaseCommand(`${count} writes are applied ${by} ms late`, time, ({ harness: { store } }) => {
    store.lateCommits = count
    store.lateBy = millis(by)
  }))

const lostAnswers = fc.tuple(fc.integer({ min: 1, max: 4 }), span)
  .map(([count, time]) => new LeaseCommand(`${count} answers are lost`, time, ({ harness }) => { harness.store.lostAnswers = count }))

const latencies = fc.tuple(fc.constantFrom(5, 5, 60, 400, 650), span)
  .map(([latency, time]) => new LeaseCommand(`the store takes ${latency} ms`, time, ({ harness }) => { harness.store.latency = millis(latency) }))

const restores = fc.tuple(fc.nat({ max: 5 }), span)
  .map(([back, time]) => new LeaseCommand(`restore a copy of ${back} copies ago`, time, ({ harness, copies }) => {
    harness.store.restore(copies.at(-1 - back))
  }))

const restartAll: Step = ({ harness }) => {
  for (let number = 0; number < MODEL_SIZE; number++) harness.start(number)
}

/** Sequences of faults of instances, clocks, links and the store. */
export const leaseCommands = (maxCommands: number) => fc.commands([
  command('wait', () => {}),
  freezes,
  jumps,
  lateCommits,
  lostAnswers,
  latencies,
  restores,
  command('copy the store', ({ harness, copies }) => { copies.push(harness.store.copy()) }),
  command('the store forgets its history', ({ harness }) => harness.store.forgetHistory()),
  command('the store is down', ({ harness }) => { harness.store.isDown = true }),
  command('all is healed', ({ harness }) => harness.healAll()),
  command('all are started', restartAll),
  targeted('stop', ({ harness }, instance) => { if (instance.isRunning) void harness.stop(instance) }),
  targeted('kill', ({ harness }, instance) => harness.kill(instance)),
  targeted('refuse the calls of', ({ harness }, { id }) => harness.store.refuse(id)),
  targeted('cut off', ({ harness }, { id }) => harness.network.cut(id))
], { size: 'max', maxCommands })
