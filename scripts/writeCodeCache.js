/** Runs the bundled program up to its wait for settings and writes its compiled code: node scripts/writeCodeCache.js FILE */
import createXxhash from 'xxhash-wasm'
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { fileURLToPath } from 'node:url'
import { Script } from 'node:vm'

/** Time in which the program has run all that it runs before it has settings. */
const RUN_TIME_MS = 500

const filename = fileURLToPath(new URL('../target/papayahill-program.cjs', import.meta.url))
const script = new Script(readFileSync(filename, 'latin1'), { filename })
process.env.PAPAYAHILL_NODE_FILE = `${filename}.missing`
process.stdout.write = () => true
script.runInThisContext()(createRequire(import.meta.url), await createXxhash())
setTimeout(() => {
  writeFileSync(process.argv[2], script.createCachedData())
  process.exit(0)
}, RUN_TIME_MS)
