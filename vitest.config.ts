import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

const DAEMON_SOURCE = fileURLToPath(new URL('./apps/papayahilld/src/index.ts', import.meta.url))
const PACKAGE_SOURCE = fileURLToPath(new URL('./packages/$1/src/index.ts', import.meta.url))

/** Tests of real processes and sockets, whose figures depend on the time that they take. */
const REAL_TIME = ['apps/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'packages/bench/src/processes/**/*.test.ts']
/** Files of those that run at the same time: more would take each other's processor time. */
const REAL_TIME_WORKERS = 3

export default defineConfig({
  resolve: {
    alias: [
      { find: '@papayahill/papayahilld', replacement: DAEMON_SOURCE },
      { find: /^@papayahill\/([a-z]+)$/, replacement: PACKAGE_SOURCE }
    ]
  },
  test: {
    testTimeout: 60_000,
    projects: [
      { extends: true, test: { name: 'packages', include: ['packages/*/src/**/*.test.ts'], exclude: REAL_TIME } },
      { extends: true, test: { name: 'real time', include: REAL_TIME, sequence: { groupOrder: 1 }, maxWorkers: REAL_TIME_WORKERS } }
    ]
  }
})
