import { brand, millis } from '@papayahill/common'
import type { ClassId, PipelineId } from '@papayahill/common'
import type { ClassSettings } from '@papayahill/settings'
import { beforeEach, describe, expect, it } from 'vitest'
import { ClassStanding, isTighter } from './ClassStanding.js'
import { MAX_GAIN, YIELD_SHARE } from './constants.js'

const classOf = (id: string, deadline: number, attainment = 0.9): ClassSettings => ({
  id: brand<ClassId>(id),
  pipeline: brand<PipelineId>('p'),
  target: { deadline: millis(deadline), attainment },
  repeatable: true,
  keyRequired: false,
  streamed: false
})

const TIGHT = classOf('tight', 300)
const LOOSE = classOf('loose', 8000)

describe('ClassStanding', () => {
  let standing: ClassStanding

  beforeEach(() => { standing = new ClassStanding() })

  const noteMany = (settings: ClassSettings, isMet: boolean): void => {
    for (let at = 0; at < 500; at++) standing.note(settings, isMet)
  }

  it('starts even', () => {
    expect(standing.gain(TIGHT.id)).toBe(0)
  })

  it('lets all classes that are far behind gain the same', () => {
    noteMany(TIGHT, false)
    noteMany(LOOSE, false)
    expect([standing.gain(TIGHT.id), standing.gain(LOOSE.id)]).toEqual([MAX_GAIN, MAX_GAIN])
  })

  it('lets a class that is ahead yield no more than its target bears', () => {
    noteMany(TIGHT, true)
    noteMany(LOOSE, true)
    expect(standing.gain(TIGHT.id)).toBeCloseTo(-YIELD_SHARE * TIGHT.target.deadline)
    expect(standing.gain(LOOSE.id)).toBeCloseTo(-MAX_GAIN)
  })

  it('forgets, so that a class that recovers stops gaining', () => {
    noteMany(TIGHT, false)
    noteMany(TIGHT, true)
    expect(standing.gain(TIGHT.id)).toBeLessThan(0)
  })
})

describe('isTighter', () => {
  it('orders by the time until the caller sees something, then by the misses allowed', () => {
    const streamed = { ...LOOSE.target, firstChunk: millis(200) }
    expect(isTighter(TIGHT.target, LOOSE.target)).toBe(true)
    expect(isTighter(streamed, TIGHT.target)).toBe(true)
    expect(isTighter(classOf('a', 300, 0.99).target, TIGHT.target)).toBe(true)
    expect(isTighter(TIGHT.target, TIGHT.target)).toBe(false)
  })
})
