import type { Bench } from './types.js'

/** All benches by name, loaded when asked for. */
export const BENCHES: Readonly<Record<string, () => Promise<{ readonly bench: Bench }>>> = {
  'cold-start': () => import('./benches/cold-start.js'),
  decide: () => import('./benches/decide.js'),
  leaving: () => import('./benches/leaving.js'),
  prefix: () => import('./benches/prefix.js'),
}
