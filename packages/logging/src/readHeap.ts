import { getHeapStatistics } from 'node:v8'
import type { HeapUse } from './HeapWatch.js'

/**
 * The heap of this process: what is used of it, with what is not collected yet, and its limit.
 *
 * @example
 * readHeap() // { used: 14_000_000, limit: 218_103_808 }
 */
export const readHeap = (): HeapUse => {
  const { used_heap_size: used, heap_size_limit: limit } = getHeapStatistics()
  return { used, limit }
}
