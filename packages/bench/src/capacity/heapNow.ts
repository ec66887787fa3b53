import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void

/** Bytes of the heap that are in use after a full collection. */
export const heapNow = (): number => {
  collect()
  return process.memoryUsage().heapUsed
}
