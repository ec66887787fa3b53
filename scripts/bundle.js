/**
 * Bundles the program for the users' platform under target/: the program itself (platform/src/main.ts), the file that loads it
 * (load.ts), and a code cache, with which it starts in about half of the processor time.
 */
import { build } from 'esbuild'
import { spawnSync } from 'node:child_process'
import { createHash } from 'node:crypto'
import { readdirSync, readFileSync, renameSync, rmSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const pathOf = (path) => fileURLToPath(new URL(`../${path}`, import.meta.url))

/** Digits of the program's hash in the name of its cache. */
const HASH_LENGTH = 16

/** The program is one function, so that its loader can compile it with a code cache and hand over what loads asynchronously. */
const FUNCTION_HEAD = '(function (require, preloadedXxhash) {'
const FUNCTION_END = '})'

/** Resolves workspace packages to their sources, so that nothing has to be compiled first. */
const fromSources = {
  name: 'from-sources',
  setup: (bundler) => {
    bundler.onResolve({ filter: /^@papayahill\// }, ({ path }) => ({
      path: pathOf(`packages/${path.slice('@papayahill/'.length)}/src/index.ts`), sideEffects: false
    }))
  }
}

/** A function cannot wait while it is loaded: the loader waits for the hash functions. */
const preloadedHash = {
  name: 'preloaded-hash',
  setup: (bundler) => {
    bundler.onLoad({ filter: /packages[\\/]common[\\/]src[\\/]xxhash\.ts$/ }, () => ({ contents: 'export const xxhash = preloadedXxhash' }))
  }
}

/** Only the clients of undici: its fetch, WebSocket, cache and mocks are half of the program otherwise. */
const undiciClients = {
  name: 'undici-clients',
  setup: (bundler) => {
    // undici's index adds the calls to its clients' prototype.
    const contents = `
      import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
      import api from 'undici/lib/api/index.js'
      Object.assign(Dispatcher.prototype, api)
      export { default as Client } from 'undici/lib/dispatcher/client.js'
      export { default as Pool } from 'undici/lib/dispatcher/pool.js'
      export { default as buildConnector } from 'undici/lib/core/connect.js'`
    bundler.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'undici-clients' }))
    bundler.onLoad({ filter: /.*/, namespace: 'undici-clients' }, () => ({ contents, resolveDir: pathOf('.') }))
  }
}

/** Builds an entry; a process that starts meanwhile must not read half a file. */
const buildTo = async (outfile, entry, options) => {
  const unfinished = `${outfile}.${process.pid}`
  await build({ entryPoints: [entry], outfile: unfinished, bundle: true, platform: 'node', target: 'node20', minify: true, ...options })
  renameSync(unfinished, outfile)
}

/** Node accepts a cache only from the same version with the same flags, so the flags are those of deploy/system.toml. */
const writeCodeCache = (file) => {
  const unfinished = `${file}.${process.pid}`
  const flags = ['--max-old-space-size=160']
  const { status } = spawnSync(process.execPath, [...flags, pathOf('scripts/writeCodeCache.js'), unfinished], { stdio: 'inherit' })
  // A program without its cache starts all the same, only later.
  if (status === 0) renameSync(unfinished, file)
  else rmSync(unfinished, { force: true })
}

const PROGRAM = pathOf('target/papayahill-program.cjs')

/** Removes the caches of other builds. */
const removeOtherCaches = (name) => {
  const others = readdirSync(pathOf('target')).filter((file) => file.endsWith('.cache') && file !== name)
  for (const file of others) rmSync(pathOf(`target/${file}`), { force: true })
}

await buildTo(PROGRAM, pathOf('platform/src/main.ts'), {
  format: 'cjs', keepNames: true, banner: { js: FUNCTION_HEAD }, footer: { js: FUNCTION_END }, plugins: [fromSources, preloadedHash, undiciClients]
})
const cache = `papayahill-program-${createHash('sha256').update(readFileSync(PROGRAM)).digest('hex').slice(0, HASH_LENGTH)}.cache`
await buildTo(pathOf('target/papayahill.mjs'), pathOf('platform/src/load.ts'), {
  format: 'esm', define: { CODE_CACHE: JSON.stringify(cache) }
})
writeCodeCache(pathOf(`target/${cache}`))
removeOtherCaches(cache)
