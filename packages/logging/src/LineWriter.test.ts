import { describe, expect, it } from 'vitest'
import { FLUSH_PERIOD, MAX_BUFFERED_BYTES, MAX_FLUSH_DELAY } from './constants.js'
import { LineWriter } from './LineWriter.js'
import type { WriteBytes } from './LineWriter.js'

const LINE = 'x'.repeat(200)
const LINES = 50_000

describe('LineWriter', () => {
  it('buffers a bounded number of bytes while the reader of the output has stopped, and drops the rest', () => {
    const neverWritten: WriteBytes = () => {}
    const writer = new LineWriter(neverWritten, () => 0)
    let dropped = 0
    for (let line = 0; line < LINES; line++) {
      if (!writer.add(LINE)) dropped++
      if (line % 100 === 0) writer.flush()
    }
    expect(writer.bufferedBytes).toBeLessThanOrEqual(MAX_BUFFERED_BYTES)
    expect(dropped).toBeGreaterThan(LINES / 2)
  })

  it('continues in order after partial writes', () => {
    const written: string[] = []
    const slowly: WriteBytes = (data, done) => {
      written.push(data.subarray(0, 3).toString())
      done(null, Math.min(3, data.length))
    }
    const writer = new LineWriter(slowly, () => 0)
    writer.add('first')
    writer.add('second')
    writer.flush()
    expect(written.join('')).toBe('first\nsecond\n')
    expect(writer.bufferedBytes).toBe(0)
  })

  it('continues after a failed write', () => {
    const written: string[] = []
    const failsOnce: WriteBytes = (data, done) => {
      written.push(data.toString())
      done(written.length === 1 ? new Error('EPIPE') : null, data.length)
    }
    const writer = new LineWriter(failsOnce, () => 0)
    writer.add('lost')
    writer.flush()
    writer.add('kept')
    writer.flush()
    expect(written).toEqual(['lost\n', 'kept\n'])
  })

  describe('in a turn of the event loop that does not end', () => {
    it('writes the lines so far once its timer is late, instead of losing them with the process', () => {
      const written: string[] = []
      let now = 0
      const writer = new LineWriter((data) => { written.push(data.toString()) }, () => now)
      writer.add('first')
      now += FLUSH_PERIOD
      writer.add('second')
      expect(written).toEqual([])
      now += MAX_FLUSH_DELAY
      writer.add('third')
      writer.add('later')
      expect(written).toEqual(['first\nsecond\nthird\n'])
    })
  })
})
