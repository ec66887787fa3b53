import type { Bench } from './types.js'

/** All benches by name; each module is loaded on demand. */
export const BENCHES: Readonly<Record<string, () => Promise<{ readonly bench: Bench }>>> = {
  relay: () => import('./benches/relay.js'),
  'moves-good': () => import('./benches/moves-good.js'),
  'moves-bad': () => import('./benches/moves-bad.js'),
  ledger: () => import('./benches/ledger.js'),
  forecast: () => import('./benches/forecast.js'),
  drain: () => import('./benches/drain.js'),
  attainment: () => import('./benches/attainment.js'),
  domain: () => import('./benches/domain.js'),
  faults: () => import('./benches/faults.js'),
  'cold-start': () => import('./benches/cold-start.js'),
  decide: () => import('./benches/decide.js'),
  'at-most-once': () => import('./benches/at-most-once.js'),
  config: () => import('./benches/config.js'),
  gossip: () => import('./benches/gossip.js'),
  leaving: () => import('./benches/leaving.js'),
  prefix: () => import('./benches/prefix.js'),
  stages: () => import('./benches/stages.js'),
  'restored-store': () => import('./benches/restored-store.js'),
  'restored-store-large': () => import('./benches/restored-store-large.js'),
  tables: () => import('./benches/tables.js'),
  chaos: () => import('./benches/chaos.js'),
  capacity: () => import('./benches/capacity.js'),
  roster: () => import('./benches/roster.js'),
  'endpoint-limits': () => import('./benches/endpoint-limits.js'),
  'endpoint-limits-large': () => import('./benches/endpoint-limits-large.js'),
  'endpoints-ordered': () => import('./benches/endpoints-ordered.js'),
  'endpoints-ordered-bursts': () => import('./benches/endpoints-ordered-bursts.js'),
  'deadly-work': () => import('./benches/deadly-work.js'),
  'deadly-work-large': () => import('./benches/deadly-work-large.js'),
  'usage-reports': () => import('./benches/usage-reports.js'),
  'usage-reports-large': () => import('./benches/usage-reports-large.js'),
  duties: () => import('./benches/duties.js')
  uneven: () => import('./benches/uneven.js')
}
