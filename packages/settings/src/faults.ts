import type { z } from 'zod'
import { FOUND_MAX_LENGTH } from './constants.js'

/** An error in a settings file. */
export interface SettingsFault {
  readonly file: string
  /** Where in the file, such as `classes[build-guide].target.deadline`. */
  readonly key: string
  /** The value found, or `nothing`. */
  readonly found: string
  readonly allowed: string
}

/**
 * Formats a fault as one line.
 *
 * @example
 * formatFault(fault) // "a.toml: classes[x].pipeline: found 'gide'; allowed: one of guide, lookup"
 */
export const formatFault = (fault: SettingsFault): string =>
  `${fault.file}: ${fault.key}: found ${fault.found}; allowed: ${fault.allowed}`

/** Formats a value for a fault, truncated to a readable length. */
export const showFound = (value: unknown): string => {
  if (value === undefined) return 'nothing'
  const text = typeof value === 'string' ? `'${value}'` : JSON.stringify(value) ?? String(value)
  return text.length > FOUND_MAX_LENGTH ? `${text.slice(0, FOUND_MAX_LENGTH)}…` : text
}

const childOf = (value: unknown, step: PropertyKey): unknown =>
  typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[step] : undefined

const nameOf = (item: unknown, index: PropertyKey): string => {
  const id = childOf(item, 'id')
  return typeof id === 'string' ? id : String(index)
}

/** Formats a path; list items are named by their id if they have one. */
const showPath = (root: unknown, path: readonly PropertyKey[]): string => {
  let text = ''
  let value = root
  for (const step of path) {
    const next = childOf(value, step)
    if (Array.isArray(value)) text += `[${nameOf(next, step)}]`
    else text += text === '' ? String(step) : `.${String(step)}`
    value = next
  }
  return text === '' ? '(whole file)' : text
}

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown => path.reduce(childOf, root)

const faultsOfIssue = (file: string, root: unknown, issue: z.core.$ZodIssue): readonly SettingsFault[] => {
  if (issue.code !== 'unrecognized_keys') {
    const found = showFound(valueAt(root, issue.path))
    return [{ file, key: showPath(root, issue.path), found, allowed: issue.message }]
  }
  return issue.keys.map((key) => ({
    file, key: showPath(root, [...issue.path, key]), found: 'an unknown key', allowed: issue.message
  }))
}

/** Converts schema errors to faults. The schemas' error messages say what is allowed. */
export const faultsOf = (file: string, root: unknown, error: z.ZodError): readonly SettingsFault[] =>
  error.issues.flatMap((issue) => faultsOfIssue(file, root, issue))
