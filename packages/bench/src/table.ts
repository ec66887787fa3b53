import type { Bench } from './types.js'

/** All benches by name, loaded when asked for. */
export const BENCHES: Readonly<Record<string, () => Promise<{ readonly bench: Bench }>>> = {
  'moves-good': () => import('./benches/moves-good.js'),
  'moves-bad': () => import('./benches/moves-bad.js'),
  ledger: () => import('./benches/ledger.js'),
  forecast: () => import('./benches/forecast.js'),
  drain: () => import('./benches/drain.js'),
  attainment: () => import('./benches/attainment.js'),
  'cold-start': () => import('./benches/cold-start.js'),
}
