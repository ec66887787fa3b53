import type { Bench } from './types.js'

/** All benches by name, loaded when asked for. */
export const BENCHES: Readonly<Record<string, () => Promise<{ readonly bench: Bench }>>> = {
  attainment: () => import('./benches/attainment.js'),
  'cold-start': () => import('./benches/cold-start.js'),
}
