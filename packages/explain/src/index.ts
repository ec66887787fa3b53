export { explainRequest } from './explainRequest.js'
export { parseLines } from './parseLines.js'
export { formatExplanation } from './formatExplanation.js'
export type * from './types.js'
