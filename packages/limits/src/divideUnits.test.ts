import { brand } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { divideUnits } from './divideUnits.js'

const instancesOf = (count: number): readonly InstanceId[] => Array.from({ length: count }, (_none, at) => brand<InstanceId>(`i${at}`))

describe('divideUnits', () => {
  it.each([[1, 4], [3, 4], [6, 24], [60, 24], [420, 3], [7, 0]])('gives parts to %i instances that add up to %i', (count, units) => {
    const instances = instancesOf(count)
    const division = divideUnits('e1', units, instances)
    const parts = instances.map((id) => division.get(id) ?? 0)
    expect(parts.reduce((sum, part) => sum + part, 0)).toBe(units)
    expect(division.size).toBe(parts.filter((part) => part > 0).length)
    expect(Math.max(...parts) - Math.min(...parts)).toBeLessThanOrEqual(1)
  })
})
