import type { OperatorConfig } from '@papayahill/settings'
import type { Result } from 'true-myth'
import type { ConfigChange } from '../types.js'

export type ChangeKind = ConfigChange['kind']
export type ChangeOf<Kind extends ChangeKind> = Extract<ConfigChange, { readonly kind: Kind }>

/** Applies one kind of change; the error is a message for the operator. */
export type ChangeAction<Kind extends ChangeKind> =
  (config: OperatorConfig, change: ChangeOf<Kind>, version: number) => Result<OperatorConfig, string>
