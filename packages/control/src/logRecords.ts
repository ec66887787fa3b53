import { brand, isJsonObject } from '@papayahill/common'
import type { DomainId, Json, OperatorName } from '@papayahill/common'
import { decodeConfig, encodeConfig } from '@papayahill/settings'
import type { OperatorConfig } from '@papayahill/settings'
import { z } from 'zod'
import type { ConfigChange } from './types.js'

/** Identifies one accepted write, to distinguish a lost answer from a conflict. */
export type WriteId = string

/** `config/head`: the newest accepted version. */
export interface ConfigHead {
  readonly version: number
  readonly author: OperatorName | undefined
  readonly writeId: WriteId
  /** Version of the newest snapshot in the object store; 0 for none. */
  readonly snapshot: number
  /** Change rows up to this version have been deleted. */
  readonly pruned: number
}

/** One version of the log. */
export interface LoggedChange {
  readonly version: number
  readonly author: OperatorName
  readonly writeId: WriteId
  /** Write id of the version that this one is based on. */
  readonly previous: WriteId
  readonly changes: readonly ConfigChange[]
  /** Latches that this version records. */
  readonly latches: readonly WriteId[]
  /** Set if this version merges two histories: the write ids of both since they diverged. */
  readonly merged?: readonly WriteId[]
  /** The whole state at this version, set with `merged`. */
  readonly state?: ConfigState
}

/** The whole configuration at one version. */
export interface ConfigState {
  readonly version: number
  readonly author: OperatorName | undefined
  readonly writeId: WriteId
  readonly config: OperatorConfig
  /** Newest latches recorded in the log. */
  readonly recorded: readonly WriteId[]
}

/** A one-way flag that takes a domain out: it is in force at once, and is cleared only through a change in the store. */
export interface Latch {
  readonly id: WriteId
  readonly domain: DomainId
  readonly author: OperatorName
}

const operatorName = z.string().transform((name) => brand<OperatorName>(name))

const headSchema = z.object({
  version: z.number(),
  author: operatorName.optional(),
  writeId: z.string(),
  snapshot: z.number(),
  pruned: z.number()
})

const latchSchema = z.object({
  id: z.string(),
  domain: z.string().transform((domain) => brand<DomainId>(domain)),
  author: operatorName
})

const stateSchema = z.object({
  version: z.number(),
  author: operatorName.optional(),
  writeId: z.string(),
  config: z.custom<Json>(isJsonObject),
  recorded: z.array(z.string())
})

const changeSchema = z.object({
  version: z.number(),
  author: operatorName,
  writeId: z.string(),
  previous: z.string(),
  changes: z.array(z.looseObject({ kind: z.string() })),
  latches: z.array(z.string()),
  merged: z.array(z.string()).optional(),
  state: z.custom<Json>(isJsonObject).optional()
})

export const INITIAL_HEAD: ConfigHead = { version: 0, author: undefined, writeId: '', snapshot: 0, pruned: 0 }

const toPlainJson = (value: unknown): Json => JSON.parse(JSON.stringify(value)) as Json

export const decodeHead = (value: Json): ConfigHead => {
  const parsed = headSchema.safeParse(value)
  return parsed.success ? { ...parsed.data, author: parsed.data.author } : INITIAL_HEAD
}

export const encodeHead = (head: ConfigHead): Json => toPlainJson(head)

const encodeChange = (change: ConfigChange): Json =>
  change.kind === 'replace' ? { kind: 'replace', config: encodeConfig(change.config) } : toPlainJson(change)

/** Decodes a change; undefined if its whole configuration is invalid. All kinds but `replace` are stored as they are. */
const decodeChange = (json: { readonly kind: string, readonly config?: unknown }): ConfigChange | undefined => {
  if (json.kind !== 'replace') return json as unknown as ConfigChange
  const config = decodeConfig(json.config as Json)
  return config.isOk ? { kind: 'replace', config: config.value } : undefined
}

export const encodeState = (state: ConfigState): Json =>
  ({ ...toPlainJson({ ...state, config: null }) as object, config: encodeConfig(state.config) })

export const decodeState = (value: Json | undefined): ConfigState | undefined => {
  const parsed = stateSchema.safeParse(value)
  const config = parsed.success ? decodeConfig(parsed.data.config) : undefined
  if (!parsed.success || !config?.isOk) return undefined
  return { ...parsed.data, author: parsed.data.author, config: config.value }
}

export const encodeLogged = (logged: LoggedChange): Json => ({
  version: logged.version,
  author: logged.author,
  writeId: logged.writeId,
  previous: logged.previous,
  changes: logged.changes.map(encodeChange),
  latches: logged.latches,
  ...logged.merged === undefined ? {} : { merged: logged.merged },
  ...logged.state === undefined ? {} : { state: encodeState(logged.state) }
})

/** Decodes a logged change; undefined if the value is not one. */
export const decodeLogged = (value: Json | undefined): LoggedChange | undefined => {
  const parsed = changeSchema.safeParse(value)
  if (!parsed.success) return undefined
  const { state, ...rest } = parsed.data
  const changes = parsed.data.changes.map(decodeChange).filter((change) => change !== undefined)
  if (changes.length < parsed.data.changes.length) return undefined
  return { ...rest, changes, state: decodeState(state) }
}

export const encodeLatch = (latch: Latch): Json => ({ ...latch })

export const decodeLatch = (value: Json | undefined): Latch | undefined => {
  const parsed = latchSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}
