import type { OperatorConfig } from '@papayahill/settings'
import type { Result } from 'true-myth'
import type { ConfigChange } from '../types.js'

export type ChangeKind = ConfigChange['kind']
export type ChangeOf<Kind extends ChangeKind> = Extract<ConfigChange, { readonly kind: Kind }>

/** What one kind of change does; the error is a sentence for the operator. */
export type ChangeAction<Kind extends ChangeKind> =
  (config: OperatorConfig, change: ChangeOf<Kind>, version: number) => Result<OperatorConfig, string>
