/** Bundles the program for the users' platform (platform/src/main.ts) into one file under target/. */
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

const bundle = pathOf('target/papayahill.mjs')
const unfinished = `${bundle}.${process.pid}`

await build({
  entryPoints: [pathOf('platform/src/main.ts')],
  outfile: unfinished,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  banner: { js: REQUIRE },
  plugins: [fromSources]
})

// A process that starts meanwhile must not read half a bundle.
renameSync(unfinished, bundle)
