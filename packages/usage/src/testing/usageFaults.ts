import { millis, seconds } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { cutOne, killAll, reachPhase, sixthOf } from './faultSteps.js'
import type { UsageHarness } from './UsageHarness.js'

/** A fault that is played while instances count. */
export interface UsageFault {
  readonly about: string
  /** Clocks that are off at the start. */
  readonly skewOf?: (at: number) => Millis
  /** Whether reports cannot contain all counts, since an instance with callers reaches no other. */
  readonly losesCounts?: boolean
  /** Plays the fault; returns the windows that could not be reported in time, since the store could not be reached. */
  play (harness: UsageHarness, seed: number): Promise<UnreachedWindows | undefined>
}

/** Windows whose reports were due while the store could not be reached. */
export interface UnreachedWindows {
  readonly from: number
  readonly through: number
}

const STORE_DOWN = seconds(27)
const PLATFORM_DOWN = seconds(7)
const SHORT_CUT = seconds(2)
const LONG_CUT = seconds(11)
const FREEZE = seconds(9)
const RESTART_TIME = seconds(2)

export const USAGE_FAULTS = {
  none: {
    about: 'no fault',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      return undefined
    }
  },
  deaths: {
    about: 'a sixth of the instances dies at the same moment, the holder included',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      killAll(harness, sixthOf(harness, seed))
      return undefined
    }
  },
  domain: {
    about: 'all instances of the holder\'s failure domain die at the same moment',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      const { holder, alive } = harness
      killAll(harness, alive.filter(({ identity }) => identity.domain === holder?.identity.domain))
      return undefined
    }
  },
  betweenRowAndSend: {
    about: 'the holder dies after it wrote a report and before it sends it',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      if (harness.holder !== undefined) harness.holder.diesBeforeSend = true
      return undefined
    }
  },
  lostAnswers: {
    about: 'answers of the platform and of the store are lost, and a write is carried out late',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      harness.platform.lostAnswers = 2
      harness.store.lostAnswers = 2
      await harness.clock.advance(seconds(6))
      harness.store.lateCommits = 2
      return undefined
    }
  },
  platformDown: {
    about: 'the platform accepts nothing for a while',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      harness.platform.isDown = true
      await harness.clock.advance(PLATFORM_DOWN)
      harness.platform.isDown = false
      return undefined
    }
  },
  storeDown: {
    about: 'the store is down over several windows',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      harness.store.isDown = true
      // Windows that ended shortly before may be written or not.
      const from = harness.window - 1
      await harness.clock.advance(STORE_DOWN)
      harness.store.isDown = false
      return { from, through: harness.window - 1 }
    }
  },
  restored: {
    about: 'the store is restored from an older copy, twice, and the holder dies at the second restore',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      const copy = harness.store.copy()
      await harness.clock.advance(seconds(13))
      harness.store.restore(copy)
      await harness.clock.advance(seconds(14))
      harness.store.restore(copy)
      if (harness.holder !== undefined) harness.kill(harness.holder)
      return undefined
    }
  },
  emptied: {
    about: 'the store comes back empty while the holder dies',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      harness.store.restore()
      if (harness.holder !== undefined) harness.kill(harness.holder)
      return undefined
    }
  },
  clocks: {
    about: 'a third of the wall clocks is seconds off at the start, and some jump and jump back',
    skewOf: (at) => millis(at % 3 === 0 ? (at % 2 === 0 ? 3200 : -2700) : (at * 37) % 80 - 40),
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      const jumping = harness.alive.filter((_instance, at) => at % 4 === 1)
      for (const { clock } of jumping) clock.skew = millis(clock.skew + 4100)
      await harness.clock.advance(seconds(7))
      for (const { clock } of jumping) clock.skew = millis(clock.skew - 4100)
      return undefined
    }
  },
  cutFromHolder: {
    about: 'an instance with callers does not reach the holder for a while, but others',
    play: async (harness, seed) => {
      const { holder } = harness
      await cutOne(harness, seed, LONG_CUT, (instance) => instance === holder)
      return undefined
    }
  },
  shortCut: {
    about: 'an instance with callers reaches no other for 2 s',
    play: async (harness, seed) => {
      await cutOne(harness, seed, SHORT_CUT, () => true)
      return undefined
    }
  },
  longCut: {
    about: 'an instance with callers reaches no other for so long that what it counted arrives late',
    losesCounts: true,
    play: async (harness, seed) => {
      await cutOne(harness, seed, LONG_CUT, () => true)
      return undefined
    }
  },
  lateThenRestored: {
    about: 'counts arrive late; then the store loses the reports that lack them, and the holder dies',
    losesCounts: true,
    play: async (harness, seed) => {
      const copy = harness.store.copy()
      await cutOne(harness, seed, LONG_CUT, () => true)
      await harness.clock.advance(seconds(3))
      harness.store.restore(copy)
      if (harness.holder !== undefined) harness.kill(harness.holder)
      return undefined
    }
  },
  frozen: {
    about: 'the holder is frozen beyond the end of its lease, and goes on later',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      const holder = harness.holder!
      const others = harness.alive.filter((instance) => instance !== holder)
      holder.freeze()
      for (const { identity } of others) harness.network.partition(holder.identity, identity)
      await harness.clock.advance(FREEZE)
      for (const { identity } of others) harness.network.heal(holder.identity, identity)
      holder.thaw()
      return undefined
    }
  },
  rolling: {
    about: 'instances stop as planned and start again, one after the other',
    play: async (harness, seed) => {
      await reachPhase(harness, seed)
      for (let at = 0; at < Math.min(harness.instances.length, 8); at++) {
        harness.stop(harness.instances[at]!)
        await harness.clock.advance(RESTART_TIME)
        harness.add(at)
        await harness.clock.advance(RESTART_TIME)
      }
      return undefined
    }
  }
} as const satisfies Readonly<Record<string, UsageFault>>

export type UsageFaultName = keyof typeof USAGE_FAULTS
