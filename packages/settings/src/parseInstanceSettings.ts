import type { DomainId, InstanceId, RegionId } from '@papayahill/common'
import { millis } from '@papayahill/common'
import { Result } from 'true-myth'
import type { z } from 'zod'
import {
  DEFAULT_BODY_BYTES, DEFAULT_CALLERS_PORT, DEFAULT_CONNECTIONS, DEFAULT_HEADER_BYTES, DEFAULT_IP, DEFAULT_OPERATORS_PORT,
  DEFAULT_PEERS_PORT, DEFAULT_SLOW_CALLER_BYTES, DEFAULT_SLOW_CALLER_PATIENCE_MS
} from './constants.js'
import { faultsOf } from './faults.js'
import type { SettingsFault } from './faults.js'
import { address, duration, ipUrl, name, table, wholeNumber } from './fields.js'
import { parseToml } from './parseToml.js'
import { loadSecrets, SECRET_SOURCE } from './secrets.js'
import type { Environment, SecretReader } from './secrets.js'
import type { InstanceSettings } from './types.js'

const MEBIBYTE = 1_048_576

const loopback = (port: number) => address().default({ ip: DEFAULT_IP, port })

const LISTEN = table({
  callers: loopback(DEFAULT_CALLERS_PORT),
  operators: loopback(DEFAULT_OPERATORS_PORT),
  peers: loopback(DEFAULT_PEERS_PORT)
})

const LIMITS = table({
  bodyBytes: wholeNumber(1024, 64 * MEBIBYTE).default(DEFAULT_BODY_BYTES),
  headerBytes: wholeNumber(1024, MEBIBYTE).default(DEFAULT_HEADER_BYTES),
  connections: wholeNumber(1, 100_000).default(DEFAULT_CONNECTIONS),
  slowCallerBytes: wholeNumber(1024, 64 * MEBIBYTE).default(DEFAULT_SLOW_CALLER_BYTES),
  slowCallerPatience: duration().default(millis(DEFAULT_SLOW_CALLER_PATIENCE_MS))
})

const PLATFORM = table({ table: ipUrl(), objects: ipUrl(), instanceList: ipUrl() })

const SECRETS = table({
  peers: SECRET_SOURCE,
  operators: SECRET_SOURCE,
  workspaces: SECRET_SOURCE.optional()
})

const INSTANCE_FILE = table({
  id: name<InstanceId>(),
  domain: name<DomainId>(),
  region: name<RegionId>(),
  listen: LISTEN.prefault({}),
  platform: PLATFORM,
  limits: LIMITS.prefault({}),
  secrets: SECRETS
})

type InstanceFile = z.output<typeof INSTANCE_FILE>

const parseFile = (root: unknown, file: string): Result<InstanceFile, readonly SettingsFault[]> => {
  const parsed = INSTANCE_FILE.safeParse(root)
  return parsed.success ? Result.ok(parsed.data) : Result.err(faultsOf(file, root, parsed.error))
}

/**
 * Parses an instance's settings file and reads the secrets that it refers to. Returns all faults at once.
 *
 * @example
 * parseInstanceSettings(text, 'ph-1.toml', process.env, (path) => readFileSync(path, 'utf8'))
 */
export const parseInstanceSettings = (
  text: string, file: string, env: Environment, readSecret: SecretReader
): Result<InstanceSettings, readonly SettingsFault[]> =>
  parseToml(text, file)
    .andThen((root) => parseFile(root, file))
    .andThen(({ id, domain, region, listen, platform, limits, secrets: sources }) =>
      loadSecrets(sources, env, readSecret, file)
        .map((secrets): InstanceSettings => ({ id, domain, region, ...listen, ...platform, limits, secrets })))
