import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Bytes of heap in use once all that nothing refers to has been collected; for tests of what something keeps. */
export const heldHeap = (): number => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}
