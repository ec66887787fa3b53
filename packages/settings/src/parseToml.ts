import { Result } from 'true-myth'
import { parse, TomlError } from 'smol-toml'
import type { SettingsFault } from './faults.js'

/** Parses TOML; the fault of a syntax error contains its line and column. */
export const parseToml = (text: string, file: string): Result<unknown, readonly SettingsFault[]> => {
  try {
    return Result.ok(parse(text))
  } catch (err) {
    if (!(err instanceof TomlError)) throw err
    const [reason] = err.message.split('\n')
    return Result.err([{ file, key: `line ${err.line}, column ${err.column}`, found: reason ?? 'invalid TOML', allowed: 'TOML 1.0' }])
  }
}
