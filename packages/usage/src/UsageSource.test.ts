import { brand, millis, seconds, VirtualClock } from '@papayahill/common'
import type { Incarnation, WorkspaceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { MAX_NAMES } from './constants.js'
import { UsageCounter } from './UsageCounter.js'
import { decodeSection } from './usageMessages.js'
import type { UsageSection } from './usageMessages.js'
import { UsageSource } from './UsageSource.js'

const [ONE, OTHER] = ['r1@1', 'r2@1'].map((name) => brand<Incarnation>(name)) as [Incarnation, Incarnation]

const workspace = (at: number): WorkspaceId => brand<WorkspaceId>(`w${at}`)

const setUp = () => {
  const clock = new VirtualClock()
  const counter = new UsageCounter({ clock, fleetClock: { now: () => clock.wall() } })
  return { clock, counter, source: new UsageSource(clock, counter) }
}

const sectionOf = (source: UsageSource, receiver: Incarnation, isConfirmed = true): UsageSection | undefined => {
  const part = source.next(receiver)
  if (isConfirmed) part?.confirm()
  return part === undefined ? undefined : decodeSection(part.body)
}

const countsOf = (section: UsageSection | undefined): ReadonlyArray<readonly [number, number]> =>
  section?.windows.flatMap(({ counts }) => [...counts]) ?? []

describe('UsageSource', () => {
  it('sends a receiver nothing that it has confirmed, and a new receiver everything', () => {
    const { counter, source } = setUp()
    for (const at of [0, 1, 0]) counter.count(workspace(at))
    expect(countsOf(sectionOf(source, ONE))).toEqual([[0, 2], [1, 1]])
    expect(sectionOf(source, ONE)).toBeUndefined()
    counter.count(workspace(1))
    const section = sectionOf(source, ONE)!
    expect(countsOf(section)).toEqual([[1, 2]])
    expect(section.names).toEqual([])
    const whole = sectionOf(source, OTHER)!
    expect(countsOf(whole)).toEqual([[0, 2], [1, 2]])
    expect(whole.names).toEqual(['w0', 'w1'])
  })

  it('repeats what was not confirmed, with the names', () => {
    const { counter, source } = setUp()
    counter.count(workspace(0))
    sectionOf(source, ONE, false)
    counter.count(workspace(1))
    const section = sectionOf(source, ONE)!
    expect(countsOf(section)).toEqual([[0, 1], [1, 1]])
    expect(section.names).toEqual(['w0', 'w1'])
  })

  it('reports the end of a window without any count, so that the window is known to be complete', async () => {
    const { clock, source } = setUp()
    const before = sectionOf(source, ONE)!
    expect(sectionOf(source, ONE)).toBeUndefined()
    await clock.advance(seconds(5))
    expect(sectionOf(source, ONE)?.current).toBe(before.current + 1)
  })

  it('sends everything anew to a receiver that could not read a section, or was not reported to for long', async () => {
    const { clock, counter, source } = setUp()
    counter.count(workspace(0))
    sectionOf(source, ONE)
    source.next(OTHER)?.confirm()
    counter.count(workspace(0))
    source.next(ONE)?.reject?.()
    expect(sectionOf(source, ONE)?.names).toEqual(['w0'])
    await clock.advance(seconds(61))
    counter.count(workspace(0))
    expect(sectionOf(source, OTHER)?.names).toEqual(['w0'])
  })

  it('gives out numbers anew once there were too many workspaces, with the names', () => {
    const { counter, source } = setUp()
    for (let at = 0; at < MAX_NAMES; at++) counter.count(workspace(at))
    sectionOf(source, ONE)
    counter.dropThrough(counter.current)
    counter.count(workspace(MAX_NAMES + 1))
    const section = sectionOf(source, ONE)!
    expect(section.session).toBe(1)
    expect(section.names).toEqual([workspace(MAX_NAMES + 1)])
    expect(countsOf(section)).toEqual([[0, 1]])
  })

  it('keeps a bounded number of windows', async () => {
    const { clock, counter, source } = setUp()
    for (let at = 0; at < 100; at++) {
      counter.count(workspace(0))
      await clock.advance(millis(5000))
    }
    expect(sectionOf(source, ONE)!.windows).toHaveLength(60)
  })
})
