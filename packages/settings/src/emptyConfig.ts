import type { OperatorConfig } from './types.js'

/** The configuration of a deployment to which nothing has been applied yet. */
export const EMPTY_CONFIG: OperatorConfig = {
  services: new Map(),
  pipelines: new Map(),
  classes: new Map(),
  workspaces: new Map(),
  domains: new Map(),
  budgets: [],
  domainsOut: new Set(),
  moves: new Map()
}
