import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
/** Collections until nothing more is freed. */
const PASSES = 5
const collect = runInNewContext('gc') as () => void

const turn = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** Bytes of the heap that are in use after full collections; what is freed late, by finalizers, takes a few. */
export const heapNow = async (): Promise<number> => {
  for (let pass = 0; pass < PASSES; pass++) {
    collect()
    await turn()
  }
  return process.memoryUsage().heapUsed
}
