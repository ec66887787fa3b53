import type { CliCommand } from '../types.js'
import { apply } from './apply.js'
import { check } from './check.js'
import { claims } from './claims.js'
import { config } from './config.js'
import { cost } from './cost.js'
import { demo } from './demo.js'
import { domain } from './domain.js'
import { explain } from './explain.js'
import { move } from './move.js'
import { orders } from './orders.js'
import { quarantine } from './quarantine.js'
import { standins } from './standins.js'
import { status } from './status.js'
import { watch } from './watch.js'

/** All commands, in the order in which the help lists them. */
export const COMMANDS: readonly CliCommand[] = [
  demo, check, apply, config, status, explain, watch, domain, move, claims, quarantine, cost, orders, standins
]
