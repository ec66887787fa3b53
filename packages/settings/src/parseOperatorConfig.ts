import { Result } from 'true-myth'
import { checkConfig, duplicateFaults } from './checkConfig.js'
import { configOf } from './codec.js'
import { faultsOf } from './faults.js'
import type { SettingsFault } from './faults.js'
import { parseToml } from './parseToml.js'
import { OPERATOR_FILE } from './schemas.js'
import type { OperatorConfig } from './types.js'

const checkFile = (root: unknown, file: string): Result<OperatorConfig, readonly SettingsFault[]> => {
  const parsed = OPERATOR_FILE.safeParse(root)
  if (!parsed.success) return Result.err(faultsOf(file, root, parsed.error))
  const config = configOf({ ...parsed.data, domainsOut: [], moves: [] })
  const faults = [...duplicateFaults(parsed.data, file), ...checkConfig(config, file)]
  return faults.length > 0 ? Result.err(faults) : Result.ok(config)
}

/**
 * Parses the operators' file. Returns all faults at once.
 *
 * @example
 * parseOperatorConfig(readFileSync('deployment.toml', 'utf8'), 'deployment.toml')
 */
export const parseOperatorConfig = (text: string, file: string): Result<OperatorConfig, readonly SettingsFault[]> =>
  parseToml(text, file).andThen((root) => checkFile(root, file))
