import type { CallEnd } from './types.js'

/**
 * Whether an endpoint has run a call that ended like this, or may have.
 *
 * @example
 * if (mayHaveRun(await call.run(socket))) runs++
 */
export const mayHaveRun = ({ kind }: CallEnd): boolean => kind !== 'not-run' && kind !== 'inputs-gone'
