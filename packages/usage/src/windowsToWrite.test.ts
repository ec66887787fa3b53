import { epochMillis, millis, seconds } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { windowsToWrite } from './windowsToWrite.js'
import type { WriteState } from './windowsToWrite.js'

const FIRST = 100
const END = (FIRST + 1) * 5000

const stateAt = (afterEnd: number, other: Partial<WriteState> = {}): WriteState => ({
  now: epochMillis(END + afterEnd),
  length: seconds(5),
  late: seconds(10),
  heldFor: seconds(60),
  first: FIRST,
  isComplete: () => true,
  isAwaited: () => false,
  ...other
})

const isWritten = (state: WriteState): boolean => windowsToWrite(state).includes(FIRST)

describe('windowsToWrite', () => {
  it('writes a window as soon as it has ended and all live instances have reported', () => {
    expect(isWritten(stateAt(-1))).toBe(false)
    expect(isWritten(stateAt(0))).toBe(true)
  })

  it('waits for live instances for half of the time within which the report is due', () => {
    const isComplete = (): boolean => false
    expect(isWritten(stateAt(4999, { isComplete }))).toBe(false)
    expect(isWritten(stateAt(5000, { isComplete }))).toBe(true)
  })

  it('waits for a quarter of that time for instances that fell silent', () => {
    const isAwaited = (): boolean => true
    expect(isWritten(stateAt(2499, { isAwaited }))).toBe(false)
    expect(isWritten(stateAt(2500, { isAwaited }))).toBe(true)
  })

  it('gives instances time to report to a new holder, but not beyond the last moment at which the report can be in time', () => {
    const [isComplete, heldFor] = [(): boolean => false, millis(100)]
    expect(isWritten(stateAt(8000, { isComplete, heldFor }))).toBe(false)
    expect(isWritten(stateAt(8500, { isComplete, heldFor }))).toBe(true)
    expect(isWritten(stateAt(8000, { isComplete, heldFor: millis(1500) }))).toBe(true)
  })

  it('writes all windows of an outage at once, and none after one that is not ready', () => {
    expect(windowsToWrite(stateAt(30_000))).toEqual([0, 1, 2, 3, 4, 5, 6].map((at) => FIRST + at))
    const short = { length: seconds(1), now: epochMillis((FIRST + 8) * 1000), isComplete: (window: number) => window !== FIRST + 5 }
    expect(windowsToWrite(stateAt(0, short))).toEqual([0, 1, 2, 3, 4].map((at) => FIRST + at))
  })
})
