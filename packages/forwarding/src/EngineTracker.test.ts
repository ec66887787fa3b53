import { brand, heldHeap, millis, SeededRandom, SILENT_LOG, tokens, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { EndpointPerformance } from '@papayahill/performance'
import { describe, expect, it } from 'vitest'
import { EngineTracker } from './EngineTracker.js'
import type { Prompt } from './types.js'

const BYTES_PER_MEGABYTE = 1_048_576

const usedMegabytes = (): number => heldHeap() / BYTES_PER_MEGABYTE

const engineOf = (id: string): Endpoint => new Endpoint({
  id: brand<EndpointId>(id),
  service: brand<ServiceId>('guide'),
  address: { ip: '10.0.0.1', port: 1 },
  domain: brand<DomainId>('hall'),
  version: 'v1',
  slots: 8,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: undefined
})

/** Megabytes that a tracker takes after `use`; a request to it afterwards keeps it from being collected before it is measured. */
const megabytesAfter = (use: (tracker: EngineTracker) => void): number => {
  const tracker = newTracker()
  const before = usedMegabytes()
  use(tracker)
  const taken = usedMegabytes() - before
  expect(tracker.pendingTokens(engineOf('last'), promptOf('last'))).toBe(100)
  return taken
}

const newTracker = (): EngineTracker => {
  const performance = new EndpointPerformance({ clock: new VirtualClock(), log: SILENT_LOG })
  return new EngineTracker({ random: new SeededRandom(5), performance })
}

const promptOf = (...ids: readonly string[]): Prompt => ({
  model: 'm', tokensIn: tokens(100 * ids.length), maxTokensOut: tokens(10), parts: ids.map((id) => ({ id, tokens: tokens(100) }))
})

describe('EngineTracker', () => {
  it('knows which parts of a prompt an engine has read', () => {
    const tracker = newTracker()
    const engine = engineOf('e1')
    tracker.recordDispatch(engine, promptOf('system', 'first'))
    expect(tracker.recordDispatch(engine, promptOf('system', 'second'))).toBe(100)
    expect(tracker.recordDispatch(engine, promptOf('other', 'second'))).toBe(200)
  })

  it('does not keep the headers in which the ids of parts came', () => {
    const engine = engineOf('e1')
    expect(megabytesAfter((tracker) => {
      for (let request = 0; request < 2000; request++) {
        const header = Buffer.alloc(20_000, `id-of-the-part-of-request-${request}:100,`).toString('latin1')
        tracker.recordDispatch(engine, promptOf(header.split(':')[0]!))
      }
    })).toBeLessThan(8)
    expect(engine.isGone).toBe(false)
  })

  it('does not keep ids of any length', () => {
    const engine = engineOf('e1')
    expect(megabytesAfter((tracker) => {
      for (let request = 0; request < 2000; request++) {
        tracker.recordDispatch(engine, promptOf(Buffer.alloc(20_000, `request ${request} `).toString('latin1')))
      }
    })).toBeLessThan(8)
    expect(engine.isGone).toBe(false)
  })

  it('does not keep the state of an engine whose calls end after it is gone', () => {
    expect(megabytesAfter((tracker) => {
      for (let at = 0; at < 400; at++) {
        const engine = engineOf(`e${at}`)
        const uncached = tracker.recordDispatch(engine, promptOf('system'))
        engine.isGone = true
        tracker.recordCallEnd(engine, uncached)
      }
    })).toBeLessThan(2)
  })

  it('does not take the end of a call of an earlier incarnation for one of its successor', () => {
    const tracker = newTracker()
    const engine = engineOf('e1')
    const successor = engineOf('e1')
    const uncached = tracker.recordDispatch(engine, promptOf('system', 'first'))
    tracker.recordDispatch(successor, promptOf('system', 'second'))
    tracker.recordCallEnd(engine, uncached)
    expect(tracker.pendingTokens(successor, promptOf('system'))).toBe(200)
  })
})
