import { brand, millis, seconds } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { CrashDetector } from './CrashDetector.js'
import { MAX_PENDING_CRASHES } from './constants.js'
import type { PartId, ScopedIncarnation, ScopeId } from './types.js'

const incarnationOf = (id: string): ScopedIncarnation =>
  ({ scope: brand<ScopeId>('pool v1 m'), endpoint: brand<EndpointId>(id), incarnation: `${id} 1000` })

const E1 = incarnationOf('e1')
const PARTS = [brand<PartId>('first'), brand<PartId>('rare')]
const NOW = millis(1000)

describe('CrashDetector', () => {
  describe('a lost call', () => {
    it('tells nothing before there is a sign that its endpoint has ended', () => {
      expect(new CrashDetector().noteLoss(E1, PARTS, NOW)).toBeUndefined()
    })

    it('counts with all others once the endpoint is known to have ended, and only once', () => {
      const detector = new CrashDetector()
      detector.noteLoss(E1, PARTS, NOW)
      detector.noteLoss(E1, PARTS, NOW)
      expect(detector.confirm(E1.incarnation, NOW)?.requests).toEqual([PARTS, PARTS])
      expect(detector.confirm(E1.incarnation, NOW)).toBeUndefined()
    })

    it('counts at once if it is noticed after that', () => {
      const detector = new CrashDetector()
      detector.noteLoss(E1, PARTS, NOW)
      detector.confirm(E1.incarnation, NOW)
      expect(detector.noteLoss(E1, PARTS, NOW)?.requests).toHaveLength(2)
    })

    it('counts no more once the endpoint has answered a later call', () => {
      const detector = new CrashDetector()
      detector.noteLoss(E1, PARTS, NOW)
      detector.dismiss(E1.incarnation, millis(NOW + 1))
      expect(detector.confirm(E1.incarnation, NOW)).toBeUndefined()
    })

    it('still counts after an answer to a call that was sent before', () => {
      const detector = new CrashDetector()
      detector.noteLoss(E1, PARTS, NOW)
      detector.dismiss(E1.incarnation, millis(NOW - 1))
      expect(detector.confirm(E1.incarnation, NOW)).toBeDefined()
    })

    it('is forgotten if no sign comes for long', () => {
      const detector = new CrashDetector()
      detector.noteLoss(E1, PARTS, NOW)
      detector.noteLoss(incarnationOf('e2'), PARTS, millis(NOW + seconds(30)))
      expect(detector.confirm(E1.incarnation, millis(NOW + seconds(30)))).toBeUndefined()
    })

    it('counts at once if its endpoint was known to have ended before', () => {
      const detector = new CrashDetector()
      expect(detector.confirm(E1.incarnation, NOW)).toBeUndefined()
      expect(detector.noteLoss(E1, PARTS, NOW)?.requests).toEqual([PARTS])
    })
  })

  it('remembers a bounded number of endpoints', () => {
    const detector = new CrashDetector()
    for (let at = 0; at < 2 * MAX_PENDING_CRASHES; at++) detector.noteLoss(incarnationOf(`e${at}`), PARTS, NOW)
    const known = Array.from({ length: 2 * MAX_PENDING_CRASHES }, (_each, at) => detector.confirm(incarnationOf(`e${at}`).incarnation, NOW))
    expect(known.filter((lost) => lost !== undefined).length).toBeLessThanOrEqual(MAX_PENDING_CRASHES + 1)
  })
})
