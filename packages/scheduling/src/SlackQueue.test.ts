import { brand, millis } from '@papayahill/common'
import type { ClassId, Millis, WorkspaceId } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { SlackQueue } from './SlackQueue.js'
import type { QueueEntry } from './SlackQueue.js'

const NO_GAIN = (): Millis => millis(0)

const entry = (classId: string, workspace: string, startBy: number): QueueEntry => ({
  class: brand<ClassId>(classId), workspace: brand<WorkspaceId>(workspace), startBy: millis(startBy)
})

/** Fills a queue and empties it again; each entry is known by its id. */
const orderOf = (entries: Readonly<Record<string, QueueEntry>>, gain = NO_GAIN as (classId: ClassId) => Millis): string[] => {
  const queue = new SlackQueue(gain)
  const order: string[] = []
  for (const [id, each] of Object.entries(entries)) {
    queue.enqueue(() => Promise.resolve(order.push(id)), { id, entry: each })
  }
  while (queue.size > 0) void queue.dequeue()!()
  return order
}

describe('SlackQueue', () => {
  describe('between classes', () => {
    it('takes the least slack first', () => {
      const order = orderOf({ late: entry('a', 'w', 900), soon: entry('b', 'w', 100), mid: entry('c', 'w', 500) })
      expect(order).toEqual(['soon', 'mid', 'late'])
    })

    it('lets a class that is behind its target gain', () => {
      const gain = (classId: ClassId): Millis => millis(classId === 'behind' ? 200 : 0)
      const order = orderOf({ other: entry('other', 'w', 100), behind: entry('behind', 'w', 250) }, gain)
      expect(order).toEqual(['behind', 'other'])
    })
  })

  describe('within a class', () => {
    it('lets workspaces take turns, however much one of them asks', () => {
      const large = Object.fromEntries([1, 2, 3, 4].map((at) => [`large${at}`, entry('a', 'large', at)]))
      const order = orderOf({ ...large, small1: entry('a', 'small', 50), small2: entry('a', 'small', 60) })
      expect(order).toEqual(['large1', 'small1', 'large2', 'small2', 'large3', 'large4'])
    })

    it('does not let a workspace save up turns while it is away', () => {
      const queue = new SlackQueue(NO_GAIN)
      const order: string[] = []
      const add = (id: string, workspace: string, startBy: number): void =>
        queue.enqueue(() => Promise.resolve(order.push(id)), { id, entry: entry('a', workspace, startBy) })
      for (let at = 0; at < 4; at++) add(`x${at}`, 'x', at)
      for (let at = 0; at < 2; at++) void queue.dequeue()!()
      for (let at = 0; at < 2; at++) add(`y${at}`, 'y', 100 + at)
      while (queue.size > 0) void queue.dequeue()!()
      expect(order.slice(2)).toEqual(['y0', 'x2', 'y1', 'x3'])
    })
  })

  describe('whatever comes and goes', () => {
    it('hands out each entry once, unless it was removed', () => {
      const arbitrary = fc.array(fc.record({
        classId: fc.constantFrom('a', 'b'),
        workspace: fc.constantFrom('x', 'y', 'z'),
        startBy: fc.integer({ min: 0, max: 1000 }),
        isRemoved: fc.boolean()
      }), { maxLength: 40 })
      fc.assert(fc.property(arbitrary, (items) => {
        const queue = new SlackQueue(NO_GAIN)
        const taken: string[] = []
        items.forEach(({ classId, workspace, startBy }, at) =>
          queue.enqueue(() => Promise.resolve(taken.push(`${at}`)), { id: `${at}`, entry: entry(classId, workspace, startBy) }))
        items.forEach(({ isRemoved }, at) => { if (isRemoved) queue.remove(`${at}`) })
        while (queue.size > 0) void queue.dequeue()!()
        expect(queue.dequeue()).toBeUndefined()
        const kept = items.flatMap(({ isRemoved }, at) => isRemoved ? [] : [`${at}`])
        expect([...taken].sort()).toEqual(kept.sort())
      }))
    })
  })
})
