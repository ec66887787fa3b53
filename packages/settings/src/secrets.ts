import { brand } from '@papayahill/common'
import type { WorkspaceId } from '@papayahill/common'
import { Result } from 'true-myth'
import { z } from 'zod'
import { SECRET_MIN_LENGTH } from './constants.js'
import { table } from './fields.js'
import type { SettingsFault } from './faults.js'
import type { InstanceSecrets } from './types.js'

export type Environment = Readonly<Record<string, string | undefined>>

/** Reads a secret from a file; undefined if the file cannot be read. */
export type SecretReader = (path: string) => string | undefined

const SOURCE_ALLOWED = 'a table with either file or env, such as { file = "peers.secret" }'

export const SECRET_SOURCE = table({
  file: z.string({ error: 'a path' }).min(1, { error: 'a path' }).optional(),
  env: z.string({ error: 'the name of a variable' }).min(1, { error: 'the name of a variable' }).optional()
}).refine((source) => (source.file === undefined) !== (source.env === undefined), { error: SOURCE_ALLOWED })

export type SecretSource = z.output<typeof SECRET_SOURCE>

export interface SecretSources {
  readonly peers: SecretSource
  readonly operators: SecretSource
  readonly workspaces?: SecretSource
}

interface Finding {
  readonly found: string
  readonly allowed: string
}

const SECRET_ALLOWED = `a secret of at least ${SECRET_MIN_LENGTH} characters`
const TOKENS_ALLOWED = `lines of name=token, each name once, each token of at least ${SECRET_MIN_LENGTH} characters`

const loadSource = (source: SecretSource, env: Environment, read: SecretReader): Result<string, Finding> => {
  const text = source.file === undefined ? env[source.env ?? ''] : read(source.file)
  if (text !== undefined) return Result.ok(text.trim())
  const where = source.file === undefined ? `no variable ${source.env}` : `no readable file ${source.file}`
  return Result.err({ found: where, allowed: 'a file or variable that can be read' })
}

const checkSecret = (text: string): Result<string, Finding> =>
  text.length >= SECRET_MIN_LENGTH
    ? Result.ok(text)
    : Result.err({ found: `${text.length} characters`, allowed: SECRET_ALLOWED })

/** Parses lines of name=token. Faults contain the line number, never the line itself, which may hold a token. */
const readTokens = (text: string): Result<ReadonlyMap<string, string>, Finding> => {
  const tokens = new Map<string, string>()
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue
    const separator = line.indexOf('=')
    const name = line.slice(0, separator).trim()
    const token = line.slice(separator + 1).trim()
    const isValid = separator > 0 && token.length >= SECRET_MIN_LENGTH && !tokens.has(name)
    if (!isValid) return Result.err({ found: `a malformed line ${index + 1}`, allowed: TOKENS_ALLOWED })
    tokens.set(name, token)
  }
  return Result.ok(tokens)
}

/**
 * Reads all secrets that the settings refer to.
 *
 * @example
 * loadSecrets({ peers: { env: 'PEERS' }, operators: { file: 'tokens' } }, process.env, readFile, 'a.toml')
 */
export const loadSecrets = (
  sources: SecretSources, env: Environment, read: SecretReader, file: string
): Result<InstanceSecrets, readonly SettingsFault[]> => {
  const peers = loadSource(sources.peers, env, read).andThen(checkSecret)
  const operators = loadSource(sources.operators, env, read).andThen(readTokens)
  const workspaces = sources.workspaces === undefined
    ? Result.ok<ReadonlyMap<string, string>, Finding>(new Map())
    : loadSource(sources.workspaces, env, read).andThen(readTokens)
  if (peers.isOk && operators.isOk && workspaces.isOk) {
    const byWorkspace = new Map([...workspaces.value].map(([id, token]) => [brand<WorkspaceId>(id), token]))
    return Result.ok({ peers: peers.value, operators: operators.value, workspaces: byWorkspace })
  }
  const results = { peers, operators, workspaces }
  return Result.err(Object.entries(results).flatMap(([name, result]) =>
    result.isErr ? [{ file, key: `secrets.${name}`, ...result.error }] : []))
}
