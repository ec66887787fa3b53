import { brand } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import type { ScopeId } from './types.js'

/**
 * The scope of a version of a service with a model.
 *
 * @example
 * scopeIdOf(service, 'v2', 'm') // 'pool v2 m'
 */
export const scopeIdOf = (service: ServiceId, version: string, model = ''): ScopeId => brand<ScopeId>(`${service} ${version} ${model}`)

/** Whether two scopes are versions of one service. */
export const isSameService = (left: ScopeId, right: ScopeId): boolean => left.split(' ', 1)[0] === right.split(' ', 1)[0]
