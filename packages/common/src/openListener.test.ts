import { describe, expect, it } from 'vitest'
import { openListener } from './openListener.js'
import { VirtualClock } from './VirtualClock.js'
import { seconds } from './units.js'

const errorOf = (code: string): Error => Object.assign(new Error(code), { code })

describe('openListener', () => {
  /** Opens by a script of error codes; then succeeds. */
  const play = (codes: readonly string[], isClosed = () => false) => {
    const clock = new VirtualClock()
    const left = [...codes]
    const blocked: string[] = []
    const open = async (): Promise<string> => {
      const code = left.shift()
      if (code !== undefined) throw errorOf(code)
      return 'open'
    }
    const opened = openListener({ clock, open, onBlocked: (err) => { blocked.push(err.code!) }, isClosed })
    return { clock, blocked, opened }
  }

  it('retries for as long as the cause may pass, and reports each cause once', async () => {
    const { clock, blocked, opened } = play(['EADDRINUSE', 'EADDRINUSE', 'EMFILE', 'EMFILE', 'EADDRNOTAVAIL'])
    await clock.advance(seconds(5))
    expect(await opened).toBe('open')
    expect(blocked).toEqual(['EADDRINUSE', 'EMFILE', 'EADDRNOTAVAIL'])
  })

  it('rejects if the address can never be bound', async () => {
    await expect(play(['EACCES']).opened).rejects.toThrow('EACCES')
  })

  it('gives up once the listener is no longer wanted', async () => {
    let isClosed = false
    const { clock, opened } = play(Array.from({ length: 1000 }, () => 'EADDRINUSE'), () => isClosed)
    await clock.advance(seconds(1))
    isClosed = true
    await clock.advance(seconds(1))
    expect(await opened).toBeUndefined()
  })
})
