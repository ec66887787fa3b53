import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

const DAEMON_SOURCE = fileURLToPath(new URL('./apps/papayahilld/src/index.ts', import.meta.url))
const PACKAGE_SOURCE = fileURLToPath(new URL('./packages/$1/src/index.ts', import.meta.url))

export default defineConfig({
  resolve: {
    alias: [
      { find: '@papayahill/papayahilld', replacement: DAEMON_SOURCE },
      { find: /^@papayahill\/([a-z]+)$/, replacement: PACKAGE_SOURCE }
    ]
  },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'apps/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    testTimeout: 60_000
  }
})
