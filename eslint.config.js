import { readFileSync } from 'node:fs'
import { createNodeResolver } from 'eslint-plugin-import-x'
import neostandard from 'neostandard'

/** Allowed imports between the workspace's own packages: layers.json lists, for each, what lies below it. */
const layers = JSON.parse(readFileSync(new URL('./layers.json', import.meta.url), 'utf8'))

/** What tests that play several instances may import besides. */
const TEST_HELP = ['invariants', 'standins']

/** Headers, paths and fields of the users' platform. */
const PLATFORM_WORDS = '/^(papayahill-(attempt|deadline|prefix|response|replica|not|token|weight|chunk|input|request|expect|tenant|kv|pin)|\\/(rows-|stage-run|stage-free)|(routeTable|headroomMb|coldRemainingMs|targetLatencyMs)$)/i'

const layerRule = ([name, below], files) => ({
  files,
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [{
        group: ['@papayahill/*', ...below.map((dep) => `!@papayahill/${dep}`)],
        message: `${name} may import only what layers.json lists for it`
      }, {
        group: ['@papayahill/*/*'],
        message: 'import a package by its index only'
      }]
    }]
  }
})

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/node_modules/**', 'results/**', 'target/**', 'journal/**'] }),
  {
    settings: {
      'import-x/resolver-next': [createNodeResolver({ extensionAlias: { '.js': ['.ts', '.js'] } })],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
      'import-x/extensions': ['.ts', '.js']
    },
    rules: {
      'import-x/no-cycle': 'error',
      'no-void': ['error', { allowAsStatement: true }],
      'max-len': ['error', { code: 140, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignorePattern: '^\\s*\\| \\{ readonly' }]
    }
  },
  ...Object.entries(layers).map((layer) => layerRule(layer, [`packages/${layer[0]}/src/**/*.ts`, `apps/${layer[0]}/src/**/*.ts`])),
  layerRule(['platform', layers.platform], ['platform/src/**/*.ts']),
  {
    files: ['packages/*/src/**/*.ts', 'apps/*/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', {
        selector: `Literal[value=${PLATFORM_WORDS}]`,
        message: 'the platform\'s headers, paths and fields are decoded in platform/ only'
      }]
    }
  },
  layerRule(['detour', [...layers.detour, ...TEST_HELP]], ['packages/detour/src/**/*.test.ts', 'packages/detour/src/testing/**/*.ts']),
  layerRule(['papayahilld', [...layers.papayahilld, ...TEST_HELP]], ['apps/papayahilld/src/**/*.test.ts']),
  layerRule(['platform', [...layers.platform, ...TEST_HELP, 'explain']], ['platform/src/**/*.test.ts', 'platform/src/testing/**/*.ts'])
]
