import { describe, expect, it } from 'vitest'
import { judgeMove } from './MoveEvidence.js'
import type { VersionCounts } from './MoveEvidence.js'

const of = (calls: number, bad: number): VersionCounts => ({ calls, bad })

describe('judgeMove', () => {
  describe('a slow version', () => {
    it('is not kept where each route alone has too few of its slow answers to tell', () => {
      const verdict = judgeMove({
        guide: { fresh: of(2, 0), old: of(81, 2) },
        check: { fresh: of(3, 3), old: of(124, 1) },
        draft: { fresh: of(10, 3), old: of(137, 3) }
      })
      expect(verdict).toBe('bad')
    })

    it('is not called good while more of its answers are slow than chance would give', () => {
      expect(judgeMove({ draft: { fresh: of(20, 3), old: of(300, 3) } })).toBe('open')
    })

    it('is not called good by the answers of one route while another that is in use was hardly tried', () => {
      expect(judgeMove({ draft: { fresh: of(30, 0), old: of(300, 0) }, check: { fresh: of(1, 0), old: of(250, 0) } })).toBe('open')
    })

    it('is bad where one route alone shows it', () => {
      expect(judgeMove({ draft: { fresh: of(40, 0), old: of(400, 0) }, check: { fresh: of(12, 6), old: of(120, 1) } })).toBe('bad')
    })
  })

  describe('a sound version', () => {
    it('is good where its answers are as good as the old one\'s', () => {
      expect(judgeMove({ draft: { fresh: of(20, 0), old: of(200, 1) }, check: { fresh: of(12, 1), old: of(150, 4) } })).toBe('good')
    })

    it('is open before it was tried', () => {
      expect(judgeMove({ draft: { fresh: of(4, 0), old: of(100, 0) } })).toBe('open')
    })

    it('is good at the rate of failures that the old one has as well', () => {
      expect(judgeMove({ draft: { fresh: of(60, 9), old: of(600, 85) } })).toBe('good')
    })
  })
})
