import { EventRecorder, VirtualClock } from '@papayahill/common'
import { EventEmitter } from 'node:events'
import { beforeEach, describe, expect, it } from 'vitest'
import { StopSignals } from './StopSignals.js'

describe('StopSignals', () => {
  let log: EventRecorder
  let calls: string[]
  let source: EventEmitter

  beforeEach(() => {
    log = new EventRecorder(new VirtualClock())
    calls = []
    source = new EventEmitter()
    new StopSignals({
      log,
      running: () => 3,
      drain: () => {
        calls.push('drain')
        return new Promise(() => {})
      },
      cut: () => { calls.push('cut') }
    }).listen(source)
  })

  const names = (): readonly string[] => log.records.map((record) => record.kind.name)

  it.each(['SIGTERM', 'SIGINT'])('drains on the first %s', (signal) => {
    source.emit(signal)
    expect(calls).toEqual(['drain'])
    expect(names()).toEqual(['stopAsked'])
  })

  // Guards against requests that are cut because an operator or a supervisor repeats a signal.
  it('drains once and cuts nothing, however many signals follow', () => {
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGTERM', 'SIGINT']) source.emit(signal)
    expect(calls).toEqual(['drain'])
    expect(names()).toEqual(['stopAsked', 'stopPending', 'stopPending', 'stopPending', 'stopPending'])
    expect(log.records[1]?.fields).toMatchObject({ running: 3, signal: 'SIGTERM' })
  })

  it.each([['at once', []], ['while it drains', ['SIGTERM']]])('cuts on SIGQUIT, %s', (_when, before) => {
    for (const signal of [...before, 'SIGQUIT']) source.emit(signal)
    expect(calls.at(-1)).toBe('cut')
    expect(names().at(-1)).toBe('cut')
  })
})
