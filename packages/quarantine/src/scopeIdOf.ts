import { brand, hash64 } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import { MAX_MODEL_LENGTH } from './constants.js'
import type { ScopeId } from './types.js'

/**
 * The scope of a version of a service with a model. Callers choose the name of the model: a long one is replaced by its hash, since
 * thousands of scopes are remembered.
 *
 * @example
 * scopeIdOf(service, 'v2', 'm') // 'pool v2 m'
 */
export const scopeIdOf = (service: ServiceId, version: string, model = ''): ScopeId =>
  brand<ScopeId>(`${service} ${version} ${model.length <= MAX_MODEL_LENGTH ? model : `#${hash64(model)}`}`)

/** Whether two scopes are versions of one service. */
export const isSameService = (left: ScopeId, right: ScopeId): boolean => left.split(' ', 1)[0] === right.split(' ', 1)[0]
