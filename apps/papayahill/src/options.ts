import type { Argv } from 'yargs'
import { WAIT_LIMIT_SECONDS } from './constants.js'

/** Adds `--wait` and `--wait-limit`. */
export const withWait = <Options>(argv: Argv<Options>) => argv
  .option('wait', { type: 'boolean', default: false, describe: 'Wait until the change is in force on all instances' })
  .option('wait-limit', { type: 'number', default: WAIT_LIMIT_SECONDS, describe: 'Longest wait, in seconds' })
