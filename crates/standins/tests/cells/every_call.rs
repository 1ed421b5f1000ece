//! Every history of a small cell in which a worker restarts under its id and calls of its earlier life come
//! late: what its next life may still carry out.
//!
//! Nothing is drawn. Each call in the critical window is answered, loses its answer, is lost, or is carried
//! out seconds later in whichever life is up then. `EVERY_CALL=wide` plays a finer grid, by hand.

mod history;
mod holds;
mod lasting;
mod pairs;
mod starts;
mod stops;
