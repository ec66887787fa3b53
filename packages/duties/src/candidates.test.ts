import { brand } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { rankCandidates } from './candidates.js'

const candidate = (at: number, capacity: number) => ({ id: brand<InstanceId>(`ph-${at}`), capacity })

describe('rankCandidates', () => {
  it('puts capable instances first, and keeps all others for when none of those reaches the store', () => {
    const ranked = rankCandidates(Array.from({ length: 12 }, (_, at) => candidate(at, at < 5 ? 1.35 : 0.243)))
    expect(ranked).toHaveLength(12)
    expect(ranked.slice(0, 5).every(({ capacity }) => capacity === 1.35)).toBe(true)
  })

  it('ranks all alike where few are capable, so that one overloaded instance is not always the first', () => {
    const weak = Array.from({ length: 5 }, (_, at) => candidate(at, 0.3))
    const firsts = new Set(Array.from({ length: 40 }, (_, at) => rankCandidates([candidate(100 + at, 1.35), ...weak])[0]!.capacity))
    expect(firsts).toEqual(new Set([0.3, 1.35]))
  })

  it('keeps the order of those that remain when one leaves', () => {
    const all = Array.from({ length: 9 }, (_, at) => candidate(at, 1))
    const ranked = rankCandidates(all)
    expect(rankCandidates(all.filter(({ id }) => id !== ranked[2]!.id))).toEqual(ranked.filter((_, at) => at !== 2))
  })
})
