/** Bundles the program for the users' platform (platform/src/main.ts) and the file that loads it (load.ts) under target/. */
import { build } from 'esbuild'
import { renameSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/** Defines `require` for bundled CommonJS dependencies, since ES modules have none. */
const REQUIRE = "import { createRequire as createRequire__ } from 'node:module'; const require = createRequire__(import.meta.url);"

const pathOf = (path) => fileURLToPath(new URL(`../${path}`, import.meta.url))

/** Resolves workspace packages to their sources, so that nothing has to be compiled first. */
const fromSources = {
  name: 'from-sources',
  setup: (bundler) => {
    bundler.onResolve({ filter: /^@papayahill\// }, ({ path }) => ({
      path: pathOf(`packages/${path.slice('@papayahill/'.length)}/src/index.ts`), sideEffects: false
    }))
  }
}

/** Builds an entry; a process that starts meanwhile must not read half a file. */
const buildTo = async (outfile, entry, options) => {
  const unfinished = `${outfile}.${process.pid}`
  await build({ entryPoints: [entry], outfile: unfinished, platform: 'node', target: 'node20', format: 'esm', ...options })
  renameSync(unfinished, outfile)
}

await buildTo(pathOf('target/papayahill-program.mjs'), pathOf('platform/src/main.ts'), {
  bundle: true, minify: true, keepNames: true, banner: { js: REQUIRE }, plugins: [fromSources]
})
// The file that is run imports nothing, so that it handles signals before the program is read.
await buildTo(pathOf('target/papayahill.mjs'), pathOf('platform/src/load.ts'), {})
