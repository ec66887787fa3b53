import { defineEvents } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { MAX_FAILURE_LINES_PER_SECOND, MAX_LINES_PER_SECOND } from './constants.js'
import { createLineLog } from './createLineLog.js'
import { LineWriter } from './LineWriter.js'

const EVENTS = defineEvents({
  decided: { number: 7197, level: 'info', text: 'A test decided something.' },
  failed: { number: 7196, level: 'warn', text: 'A test failed something.' }
})

const OVERLOAD_FACTOR = 10

const createTestLog = () => {
  const lines: Array<Record<string, unknown>> = []
  let now = 0
  const writer = new LineWriter((data, done) => {
    for (const line of data.toString().trim().split('\n')) lines.push(JSON.parse(line) as Record<string, unknown>)
    done(null, data.length)
  }, () => now)
  const log = createLineLog({ level: 'info', common: { instance: 'i1' }, writer, now: () => now })
  const advance = (span: number): void => { now += span }
  return { lines, writer, log, advance }
}

describe('createLineLog', () => {
  it('writes an event as one line with its number, its fields and the instance', () => {
    const { lines, writer, log } = createTestLog()
    log.emit(EVENTS.decided, { request: 'a1', age: 530.3719 })
    writer.flush()
    expect(lines).toEqual([expect.objectContaining({ event: 7197, name: 'decided', instance: 'i1', request: 'a1', age: 530.37 })])
  })

  it('limits the lines per second at ten times the maximum rate, reserves capacity for failures, and counts dropped lines', () => {
    const { lines, writer, log, advance } = createTestLog()
    for (let line = 0; line < OVERLOAD_FACTOR * MAX_LINES_PER_SECOND; line++) log.emit(EVENTS.decided, { line })
    for (let line = 0; line < 20; line++) log.emit(EVENTS.failed, { line })
    advance(1000)
    log.emit(EVENTS.decided)
    writer.flush()
    const count = (event: number): number => lines.filter((line) => line.event === event).length
    expect(count(7197)).toBe(MAX_LINES_PER_SECOND + 1)
    expect(count(7196)).toBe(20)
    expect(lines.find((line) => line.event === 1901)).toMatchObject({ lines: (OVERLOAD_FACTOR - 1) * MAX_LINES_PER_SECOND })
    expect(lines.length).toBeLessThanOrEqual(MAX_LINES_PER_SECOND + MAX_FAILURE_LINES_PER_SECOND + 2)
  })
})
