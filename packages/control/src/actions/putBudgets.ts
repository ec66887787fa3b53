import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Replaces all budgets. */
export const putBudgets: ChangeAction<'put-budgets'> = (config, change) => Result.ok({ ...config, budgets: change.budgets })
