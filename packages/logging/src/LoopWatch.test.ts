import { millis, VirtualClock } from '@papayahill/common'
import type { EventFields, EventKind, Millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { LoopWatch } from './LoopWatch.js'

const watchDelays = () => {
  const clock = new VirtualClock()
  const lines: Array<readonly [name: string, fields: EventFields | undefined]> = []
  const loopDelay: { current: Millis } = { current: millis(0) }
  const watch = new LoopWatch({
    clock,
    log: { emit: (kind: EventKind, fields?: EventFields) => { lines.push([kind.name, fields]) } },
    loopDelay,
    held: () => ({ requests: 7 })
  })
  const check = async (...delays: readonly number[]): Promise<void> => {
    for (const delay of delays) {
      loopDelay.current = millis(delay)
      watch.check()
      await clock.advance(millis(500))
    }
  }
  return { lines, check }
}

describe('LoopWatch', () => {
  it('logs a long delay once, with what the process holds', async () => {
    const { lines, check } = watchDelays()
    await check(20, 300, 20, 400)
    expect(lines).toEqual([['loopDelayed', { requests: 7, delayMs: 300 }]])
  })

  it('logs once that the delay is over, with the longest one and how long it lasted', async () => {
    const { lines, check } = watchDelays()
    await check(300, 700, 20, 20, 20, 20)
    expect(lines.slice(1)).toEqual([['loopOnTime', { longestMs: 700, lastedMs: 500 }]])
  })

  it('logs nothing of short delays', async () => {
    const { lines, check } = watchDelays()
    await check(0, 90, 150, 0, 0, 0)
    expect(lines).toEqual([])
  })
})
